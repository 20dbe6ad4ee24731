use std::{
    fs,
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt};

use super::KeySetError;

/// The file mode of secrets: access for the owner only.
const SECRET_MODE: u32 = 0o600;
/// The file mode of certificates and other public files: readable by everyone.
const PUBLIC_MODE: u32 = 0o644;

/// The files of a key set.
#[derive(Debug, Clone)]
pub(super) struct KeySetFiles {
    folder: PathBuf,
}

impl KeySetFiles {
    pub(super) fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
        }
    }

    pub(super) fn create_folder(&self) -> Result<(), Report<KeySetError>> {
        fs::create_dir_all(&self.folder)
            .change_context(KeySetError::File)
            .attach_with(|| self.folder.display().to_string())
    }

    pub(super) fn has(&self, name: &str) -> bool {
        self.folder.join(name).exists()
    }

    pub(super) fn read(&self, name: &str) -> Result<String, Report<KeySetError>> {
        let path = self.folder.join(name);
        fs::read_to_string(&path)
            .change_context(KeySetError::File)
            .attach_with(|| path.display().to_string())
    }

    pub(super) fn write_secret(&self, name: &str, text: &str) -> Result<(), Report<KeySetError>> {
        self.write(name, text, SECRET_MODE)
    }

    pub(super) fn write_public(&self, name: &str, text: &str) -> Result<(), Report<KeySetError>> {
        self.write(name, text, PUBLIC_MODE)
    }

    pub(super) fn rename(&self, from: &str, to: &str) -> Result<(), Report<KeySetError>> {
        fs::rename(self.folder.join(from), self.folder.join(to))
            .change_context(KeySetError::File)
            .attach_with(|| format!("{from} to {to}"))
    }

    pub(super) fn remove(&self, name: &str) -> Result<(), Report<KeySetError>> {
        fs::remove_file(self.folder.join(name))
            .change_context(KeySetError::File)
            .attach_with(|| name.to_owned())
    }

    /// Returns the names of the services that have a certificate, in ascending order.
    pub(super) fn services(&self) -> Result<Vec<String>, Report<KeySetError>> {
        let entries = fs::read_dir(&self.folder).change_context(KeySetError::File)?;
        let mut services = Vec::new();
        for entry in entries {
            let name = entry.change_context(KeySetError::File)?.file_name();
            let name = name.to_string_lossy();
            let service = name
                .strip_prefix("service-")
                .and_then(|it| it.strip_suffix(".key.pem"));
            services.extend(service.map(str::to_owned));
        }
        services.sort_unstable();
        Ok(services)
    }

    /// Writes a file atomically.
    fn write(&self, name: &str, text: &str, mode: u32) -> Result<(), Report<KeySetError>> {
        let partial = format!("{name}.partial");
        let path = self.folder.join(&partial);
        let written = fs::OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .mode(mode)
            .open(&path)
            .and_then(|mut file| {
                file.write_all(text.as_bytes())
                    .and_then(|()| file.sync_all())
            });
        written
            .change_context(KeySetError::File)
            .attach_with(|| path.display().to_string())?;
        self.rename(&partial, name)
    }
}
