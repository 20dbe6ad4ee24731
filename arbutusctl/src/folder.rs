//! The loading of the operator's folder by the commands.

use std::path::Path;

use arbutus_settings::{
    SettingsError,
    operator::{BaseFile, OperatorFolder},
};
use error_stack::Report;

use crate::CtlError;

/// Loads and checks the files in a folder.
pub(crate) fn load(folder: &Path) -> Result<OperatorFolder, Report<CtlError>> {
    OperatorFolder::load(folder).map_err(settings_error)
}

/// Loads the folder's base file.
pub(crate) fn load_base(folder: &Path) -> Result<BaseFile, Report<CtlError>> {
    BaseFile::load(folder).map_err(|report| report.change_context(CtlError::File))
}

/// Writes the folder's base file.
pub(crate) fn store_base(folder: &Path, base: &BaseFile) -> Result<(), Report<CtlError>> {
    base.store(folder)
        .map_err(|report| report.change_context(CtlError::File))
}

/// Converts a settings error, keeping findings and unreadable files apart.
pub(crate) fn settings_error(report: Report<SettingsError>) -> Report<CtlError> {
    let context = match report.current_context() {
        SettingsError::Findings => CtlError::Findings,
        SettingsError::Unreadable => CtlError::File,
    };
    report.change_context(context)
}
