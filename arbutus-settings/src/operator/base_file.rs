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

/// What the operator's folder was last based on, kept beside the files.
///
/// It lets `apply` tell a race, and lets a change whose answer was lost be found again.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BaseFile {
    /// The version.
    pub version: ConfigVersion,
    /// The change that made it.
    pub change: Option<ChangeId>,
    /// Its services.
    pub services: Vec<Arc<Service>>,
    /// The highest version ever seen from this folder; at least `version`.
    pub highest: ConfigVersion,
    /// A change that was begun and whose end is not known yet.
    pub pending: Option<PendingChange>,
}

/// A change that was begun.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PendingChange {
    /// Its ID.
    pub id: ChangeId,
    /// The services it sets.
    pub services: Vec<Arc<Service>>,
}

/// Why the file was not read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaseFileError {
    /// It could not be read or written.
    File,
    /// It holds something else than it should.
    Malformed,
}

impl BaseFile {
    /// The file's name within the folder.
    pub const NAME: &'static str = ".arbutus-base";

    /// Reads the file in `folder`; a folder without one is based on nothing.
    ///
    /// # Errors
    ///
    /// Fails where the file is there and cannot be read.
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

    /// Writes the file in `folder`, whole or not at all.
    ///
    /// # Errors
    ///
    /// Fails where it cannot be written.
    pub fn store(&self, folder: &Path) -> Result<(), Report<BaseFileError>> {
        let path = folder.join(Self::NAME);
        let partial = partial_path(folder);
        let text = serde_json::to_vec(self).change_context(BaseFileError::Malformed)?;
        fs::write(&partial, text).map_err(|error| file_error(error, &partial))?;
        fs::rename(&partial, &path).map_err(|error| file_error(error, &path))
    }

    /// Moves on to another version.
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

    /// Moves on to what the store now holds.
    #[must_use]
    pub fn rebased_to_stored(self, stored: &StoredConfig) -> Self {
        let change = stored.index.as_ref().map(|index| index.change.id);
        let services = stored.plain_services().into_values().collect();
        self.rebased_to(stored.version(), change, services)
    }

    /// Moves on to the pending change if the store took it after all.
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

    /// The base as the decisions see it.
    #[must_use]
    pub fn base(&self) -> Base {
        let tagged = self.services.iter().map(|it| (it.tag(), it.clone()));
        Base {
            version: self.version,
            change: self.change,
            services: tagged.collect::<Services>(),
            highest_seen: self.highest,
        }
    }
}

/// A name that another window of the operator does not use at the same time.
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
            Self::Malformed => "the base file holds something else than it should",
        })
    }
}

impl std::error::Error for BaseFileError {}
