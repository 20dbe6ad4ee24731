//! Files that hold secrets or certificates.

use std::{os::unix::fs::PermissionsExt, path::Path};

use crate::findings::{Findings, Location};

/// Permission bits that let group or others at a file.
const OTHERS_MASK: u32 = 0o077;

/// Reads the secret file at `path`, which `location` names.
///
/// A file that group or others have any access to is a finding.
pub(crate) fn read_secret(
    path: &Path,
    location: &Location,
    findings: &mut Findings,
) -> Option<Vec<u8>> {
    let bytes = read(path, location, findings)?;
    let mode = std::fs::metadata(path).map(|it| it.permissions().mode());
    match mode {
        Ok(mode) if mode & OTHERS_MASK == 0 => {}
        Ok(mode) => {
            let message = format!(
                "`{}` holds a secret but has mode {:03o}; remove the access of group and others \
                 with chmod 600",
                path.display(),
                mode & 0o777
            );
            findings.add(location, message);
        }
        Err(error) => findings.add(location, format!("`{}`: {error}", path.display())),
    }
    Some(bytes)
}

/// Reads the file at `path`, which `location` names.
pub(crate) fn read(path: &Path, location: &Location, findings: &mut Findings) -> Option<Vec<u8>> {
    match std::fs::read(path) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            findings.add(
                location,
                format!("cannot read `{}`: {error}", path.display()),
            );
            None
        }
    }
}
