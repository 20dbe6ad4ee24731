//! The operator's folder as commands load it.

use std::path::Path;

use arbutus_settings::{
    SettingsError,
    operator::{BaseFile, OperatorFolder},
};
use error_stack::Report;

use crate::CtlError;

/// Loads and checks the files of a folder.
pub(crate) fn load(folder: &Path) -> Result<OperatorFolder, Report<CtlError>> {
    OperatorFolder::load(folder).map_err(settings_error)
}

/// Loads what the folder is based on.
pub(crate) fn load_base(folder: &Path) -> Result<BaseFile, Report<CtlError>> {
    BaseFile::load(folder).map_err(|report| report.change_context(CtlError::File))
}

/// Keeps what the folder is based on.
pub(crate) fn store_base(folder: &Path, base: &BaseFile) -> Result<(), Report<CtlError>> {
    base.store(folder)
        .map_err(|report| report.change_context(CtlError::File))
}

/// Tells findings from files that cannot be read.
pub(crate) fn settings_error(report: Report<SettingsError>) -> Report<CtlError> {
    let context = match report.current_context() {
        SettingsError::Findings => CtlError::Findings,
        SettingsError::Unreadable => CtlError::File,
    };
    report.change_context(context)
}
