//! The loading of a settings file.

use std::path::Path;

use error_stack::{Report, ResultExt};

use crate::{
    SettingsError,
    document::{Document, Node},
    findings::Findings,
};

/// Loads the file at `path` and converts its root value with `read`.
///
/// `read` receives the file's folder, which relative paths in the file are resolved against.
///
/// # Errors
///
/// Returns an error if the file cannot be read or has findings, which are all attached.
pub fn load<T>(
    path: &Path,
    read: impl FnOnce(&Path, &Node, &mut Findings) -> Option<T>,
) -> Result<T, Report<SettingsError>> {
    let text = std::fs::read_to_string(path)
        .change_context(SettingsError::Unreadable)
        .attach_with(|| path.display().to_string())?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let mut findings = Findings::new();
    let document = Document::parse(&path.display().to_string(), &text, &mut findings);
    let value = document.and_then(|document| read(folder, document.root(), &mut findings));
    findings.into_result(value)
}
