use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

use arbutus_core::config::DesiredState;
use error_stack::Report;
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::service::STATES;
use crate::{
    SettingsError,
    document::{Document, Node, Reader},
    findings::Findings,
    scalar,
};

/// The file by which `arbutusctl drain` and `undrain` set states of backend servers.
///
/// It overrides the files before it and is written anew each time; comments in it are not kept.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DrainFile {
    /// States by the names of service and backend server.
    states: IndexMap<Target, DesiredState>,
}

/// A backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Target {
    service: Arc<str>,
    backend_server: Arc<str>,
}

impl DrainFile {
    /// The file's name within the folder; it sorts behind what people name their files.
    pub const NAME: &'static str = "zz-drains.jsonc";

    /// Reads the file in `folder`; a folder without one sets no states.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read, or with findings where it holds anything but states.
    pub fn load(folder: &Path) -> Result<Self, Report<SettingsError>> {
        let path = path(folder);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(error) => return Err(unreadable(error, &path)),
        };
        let mut findings = Findings::new();
        let document = Document::parse(&path.display().to_string(), &text, &mut findings);
        let file = document.and_then(|it| Self::read(it.root(), &mut findings));
        findings.into_result(file)
    }

    /// Sets the state of one backend server.
    pub fn set(&mut self, service: &str, backend_server: &str, state: DesiredState) {
        self.states.insert(target(service, backend_server), state);
    }

    /// Takes back what the file says of one backend server.
    pub fn clear(&mut self, service: &str, backend_server: &str) {
        self.states.shift_remove(&target(service, backend_server));
    }

    /// Writes the file in `folder`, whole or not at all; one that sets nothing is removed.
    ///
    /// # Errors
    ///
    /// Fails where it cannot be written.
    pub fn store(&self, folder: &Path) -> Result<(), Report<SettingsError>> {
        let path = path(folder);
        if self.states.is_empty() {
            return match fs::remove_file(&path) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => {
                    Err(unreadable(error, &path))
                }
                _ => Ok(()),
            };
        }
        let partial = folder.join(format!(".{}.{}", Self::NAME, std::process::id()));
        fs::write(&partial, self.text())
            .and_then(|()| fs::rename(&partial, &path))
            .map_err(|error| unreadable(error, &path))
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
                let state = reader.required("state", scalar::choice(&STATES));
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

fn unreadable(error: io::Error, path: &Path) -> Report<SettingsError> {
    Report::new(error)
        .change_context(SettingsError::Unreadable)
        .attach(path.display().to_string())
}
