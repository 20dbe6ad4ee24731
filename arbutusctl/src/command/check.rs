use error_stack::Report;
use serde_json::json;

use crate::{CtlError, ExitStatus, folder, options::Options, output};

/// Checks the files in the folder.
pub(super) fn run(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let loaded = folder::load(&options.folder)?;
    let names: Vec<_> = loaded
        .services
        .values()
        .map(|service| service.name.clone())
        .collect();
    if options.json {
        let files: Vec<_> = loaded
            .files
            .iter()
            .map(|path| path.display().to_string())
            .collect();
        output::line(format_args!(
            "{}",
            json!({ "files": files, "services": names, "findings": [] })
        ));
    } else {
        output::line(format_args!(
            "{} files, {} services, no findings",
            loaded.files.len(),
            names.len()
        ));
    }
    Ok(ExitStatus::Done)
}
