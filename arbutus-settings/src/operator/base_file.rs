use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

use arbutus_core::{
    apply::{Base, ChangeId, Index, Services, StoredConfig},
    config::{ConfigVersion, Service},
};
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

/// The configuration that the operator's folder is based on, stored beside the operator's files.
///
/// With it, `apply` detects a concurrent change, and finds the outcome of its own earlier change
/// whose response was lost.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BaseFile {
    /// The version that the folder is based on.
    pub version: ConfigVersion,
    /// The change that created the version.
    pub change: Option<ChangeId>,
    /// The services in the version.
    pub services: Vec<Arc<Service>>,
    /// The highest version ever seen by commands in this folder; at least `version`.
    pub highest: ConfigVersion,
    /// A change that was started and whose outcome is unknown.
    pub pending: Option<PendingChange>,
}

/// A change that was started.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PendingChange {
    /// The ID of the change.
    pub id: ChangeId,
    /// The services that the change sets.
    pub services: Vec<Arc<Service>>,
}

/// The error of reading or writing a [`BaseFile`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaseFileError {
    /// The file could not be read or written.
    File,
    /// The file is malformed.
    Malformed,
}

impl BaseFile {
    /// The file's name within the folder.
    pub const NAME: &'static str = ".arbutus-base";

    /// Reads the file in `folder`.
    ///
    /// Returns the default, which is based on no version, if the file does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the file exists and cannot be read or parsed.
    pub fn load(folder: &Path) -> Result<Self, Report<BaseFileError>> {
        let path = folder.join(Self::NAME);
        let text = match fs::read(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(error) => return Err(file_error(error, &path)),
        };
        serde_json::from_slice(&text)
            .change_context(BaseFileError::Malformed)
            .attach_with(|| path.display().to_string())
    }

    /// Writes the file in `folder` atomically.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn store(&self, folder: &Path) -> Result<(), Report<BaseFileError>> {
        let path = folder.join(Self::NAME);
        let partial = partial_path(folder);
        let text = serde_json::to_vec(self).change_context(BaseFileError::Malformed)?;
        fs::write(&partial, text).map_err(|error| file_error(error, &partial))?;
        fs::rename(&partial, &path).map_err(|error| file_error(error, &path))
    }

    /// Returns the file based on another version, without a pending change.
    #[must_use]
    pub fn rebased_to(
        self,
        version: ConfigVersion,
        change: Option<ChangeId>,
        services: Vec<Arc<Service>>,
    ) -> Self {
        Self {
            version,
            change,
            services,
            highest: self.highest.max(version),
            pending: None,
        }
    }

    /// Returns the file based on the stored configuration.
    #[must_use]
    pub fn rebased_to_stored(self, stored: &StoredConfig) -> Self {
        let change = stored.index.as_ref().map(|index| index.change.id);
        let services = stored.plain_services().into_values().collect();
        self.rebased_to(stored.version(), change, services)
    }

    /// Resolves the pending change: rebases onto the change if it was stored, and drops it
    /// otherwise.
    #[must_use]
    pub fn resolve_pending(mut self, stored: &StoredConfig) -> Self {
        let Some(pending) = self.pending.take() else {
            return self;
        };
        let mut changes = stored.index.iter().flat_map(Index::changes);
        match changes.find(|change| change.id == pending.id) {
            None => self,
            Some(change) => self.rebased_to(change.version, Some(change.id), pending.services),
        }
    }

    /// Returns the base that [`arbutus_core::apply`] decides with.
    #[must_use]
    pub fn base(&self) -> Base {
        let tagged = self
            .services
            .iter()
            .map(|service| (service.tag(), service.clone()));
        Base {
            version: self.version,
            change: self.change,
            services: tagged.collect::<Services>(),
            highest_seen: self.highest,
        }
    }
}

/// Returns the path of a temporary file.
///
/// The name contains the process ID, so that concurrent commands of the operator use distinct
/// files.
fn partial_path(folder: &Path) -> PathBuf {
    folder.join(format!("{}.{}", BaseFile::NAME, std::process::id()))
}

fn file_error(error: io::Error, path: &Path) -> Report<BaseFileError> {
    Report::new(error)
        .change_context(BaseFileError::File)
        .attach(path.display().to_string())
}

impl std::fmt::Display for BaseFileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::File => "the base file could not be read or written",
            Self::Malformed => "the base file is malformed",
        })
    }
}

impl std::error::Error for BaseFileError {}
