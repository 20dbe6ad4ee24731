use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

use arbutus_core::config::DesiredState;
use error_stack::Report;
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::service::DESIRED_STATES;
use crate::{
    SettingsError,
    document::{Document, Node, Reader},
    findings::Findings,
    scalar,
};

/// The file in which `arbutusctl drain` and `undrain` set the states of backend servers.
///
/// The file overrides the files before it. Each change rewrites the whole file and drops the
/// comments in it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DrainFile {
    /// The state of each backend server.
    states: IndexMap<Target, DesiredState>,
}

/// The names of a service and of one of its backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Target {
    service: Arc<str>,
    backend_server: Arc<str>,
}

impl DrainFile {
    /// The file's name within the folder; it sorts after the usual names of the operator's files.
    pub const NAME: &'static str = "zz-drains.jsonc";

    /// Reads the file in `folder`.
    ///
    /// Returns a value without states if the file does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or with findings attached if it contains
    /// anything but states.
    pub fn load(folder: &Path) -> Result<Self, Report<SettingsError>> {
        let path = path(folder);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(error) => return Err(file_error(error, &path)),
        };
        let mut findings = Findings::new();
        let document = Document::parse(&path.display().to_string(), &text, &mut findings);
        let file = document.and_then(|it| Self::read(it.root(), &mut findings));
        findings.into_result(file)
    }

    /// Sets the state of a backend server.
    pub fn set(&mut self, service: &str, backend_server: &str, state: DesiredState) {
        self.states.insert(target(service, backend_server), state);
    }

    /// Removes the state of a backend server from the file.
    pub fn clear(&mut self, service: &str, backend_server: &str) {
        self.states.shift_remove(&target(service, backend_server));
    }

    /// Writes the file in `folder` atomically, or removes the file if it would set no states.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or removed.
    pub fn store(&self, folder: &Path) -> Result<(), Report<SettingsError>> {
        let path = path(folder);
        if self.states.is_empty() {
            return match fs::remove_file(&path) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => {
                    Err(file_error(error, &path))
                }
                _ => Ok(()),
            };
        }
        let partial = folder.join(format!(".{}.{}", Self::NAME, std::process::id()));
        fs::write(&partial, self.text())
            .and_then(|()| fs::rename(&partial, &path))
            .map_err(|error| file_error(error, &path))
    }

    fn text(&self) -> String {
        let mut services = IndexMap::<&str, IndexMap<&str, Value>>::new();
        for (target, state) in &self.states {
            let servers = services.entry(&target.service).or_default();
            servers.insert(&target.backend_server, json!({ "state": state }));
        }
        let services: IndexMap<_, _> = services
            .into_iter()
            .map(|(name, servers)| (name, json!({ "backend_servers": servers })))
            .collect();
        let body = json!({ "override": true, "services": services });
        format!(
            "// Written by `arbutusctl drain` and `undrain`; comments are not kept.\n{body:#}\n"
        )
    }

    fn read(root: &Node, findings: &mut Findings) -> Option<Self> {
        let mut file = Self::default();
        let mut reader = root.reader(findings)?;
        reader.optional("override", scalar::boolean);
        reader.optional("services", |_, node, findings| {
            for service in node.entries(findings)? {
                let mut reader = service.node.reader(findings)?;
                file.read_servers(&service.key, &mut reader);
                reader.finish();
            }
            Some(())
        });
        reader.finish();
        Some(file)
    }

    fn read_servers(&mut self, service: &str, reader: &mut Reader<'_>) {
        reader.optional("backend_servers", |_, node, findings| {
            for server in node.entries(findings)? {
                let mut reader = server.node.reader(findings)?;
                let state = reader.required("state", scalar::choice(&DESIRED_STATES));
                reader.finish();
                self.set(service, &server.key, state?);
            }
            Some(())
        });
    }
}

fn path(folder: &Path) -> PathBuf {
    folder.join(DrainFile::NAME)
}

fn target(service: &str, backend_server: &str) -> Target {
    Target {
        service: service.into(),
        backend_server: backend_server.into(),
    }
}

fn file_error(error: io::Error, path: &Path) -> Report<SettingsError> {
    Report::new(error)
        .change_context(SettingsError::Unreadable)
        .attach(path.display().to_string())
}
