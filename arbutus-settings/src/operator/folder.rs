use std::path::{Path, PathBuf};

use arbutus_core::apply::Services;
use error_stack::{Report, ResultExt};

use super::{merge::merge, service::read_services};
use crate::{
    SettingsError,
    document::Document,
    findings::{Findings, Location},
};

/// The services that the files in an operator's folder describe.
#[derive(Debug, Clone)]
pub struct OperatorFolder {
    /// The files that were read, in merge order.
    pub files: Vec<PathBuf>,
    /// The services, by service tag.
    pub services: Services,
}

impl OperatorFolder {
    /// Reads, merges and checks the files in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be read or its files have findings, which are all
    /// attached.
    pub fn load(folder: &Path) -> Result<Self, Report<SettingsError>> {
        let mut findings = Findings::new();
        let files = list(folder, &mut findings)?;
        let parsed: Vec<_> = files
            .iter()
            .map(|path| parse(path, &mut findings))
            .collect();
        if files.is_empty() {
            let location = Location::whole_file(folder.display().to_string().into());
            findings.add(&location, "the folder contains no .jsonc or .json file");
        }
        let documents = parsed.into_iter().flatten().collect();
        let merged = merge(documents, &mut findings);
        let services = merged.and_then(|root| read_services(&root, &mut findings));
        let services = findings.into_result(services)?;
        Ok(Self { files, services })
    }
}

/// Returns the folder's JSON files in the order of their names.
fn list(folder: &Path, findings: &mut Findings) -> Result<Vec<PathBuf>, Report<SettingsError>> {
    let unreadable = || folder.display().to_string();
    let entries = std::fs::read_dir(folder)
        .change_context(SettingsError::Unreadable)
        .attach_with(unreadable)?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry
            .change_context(SettingsError::Unreadable)
            .attach_with(unreadable)?
            .path();
        let hidden = path.file_name().is_some_and(is_hidden);
        if hidden || path.is_dir() {
            continue;
        }
        match path.extension().and_then(|it| it.to_str()) {
            Some("jsonc" | "json") => files.push(path),
            Some("md") => {}
            _ => {
                let location = Location::whole_file(display_path(&path).into());
                findings.add(
                    &location,
                    "the name ends in neither .jsonc nor .json, so the file would be ignored; \
                     rename it, or start its name with a dot",
                );
            }
        }
    }
    files.sort_unstable();
    Ok(files)
}

/// Returns the path in the form in which findings show it.
fn display_path(path: &Path) -> String {
    path.strip_prefix("./")
        .unwrap_or(path)
        .display()
        .to_string()
}

fn is_hidden(name: &std::ffi::OsStr) -> bool {
    name.as_encoded_bytes().starts_with(b".")
}

fn parse(path: &Path, findings: &mut Findings) -> Option<Document> {
    let name = display_path(path);
    match std::fs::read_to_string(path) {
        Ok(text) => Document::parse(&name, &text, findings),
        Err(error) => {
            findings.add(&Location::whole_file(name.into()), error.to_string());
            None
        }
    }
}
