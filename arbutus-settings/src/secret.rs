//! The reading of files that contain secrets or certificates.

use std::{os::unix::fs::PermissionsExt, path::Path};

use crate::findings::{Findings, Location};

/// The permission bits that give group or others access to a file.
const GROUP_AND_OTHERS_MASK: u32 = 0o077;

/// Reads the secret file at `path`; findings refer to `location`.
///
/// Any access of group or others to the file is a finding.
pub(crate) fn read_secret(
    path: &Path,
    location: &Location,
    findings: &mut Findings,
) -> Option<Vec<u8>> {
    let bytes = read(path, location, findings)?;
    let mode = std::fs::metadata(path).map(|it| it.permissions().mode());
    match mode {
        Ok(mode) if mode & GROUP_AND_OTHERS_MASK == 0 => {}
        Ok(mode) => {
            let message = format!(
                "`{}` contains a secret but has mode {:03o}; remove the access of group and others \
                 with chmod 600",
                path.display(),
                mode & 0o777
            );
            findings.add(location, message);
        }
        Err(error) => findings.add(
            location,
            format!("cannot read the mode of `{}`: {error}", path.display()),
        ),
    }
    Some(bytes)
}

/// Reads the file at `path`; a finding refers to `location`.
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
