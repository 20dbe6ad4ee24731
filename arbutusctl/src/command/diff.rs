use arbutus_core::apply::{self, Difference};
use arbutus_io::store::ConfigReader;
use error_stack::{Report, ResultExt};
use serde_json::json;

use crate::{CtlError, ExitStatus, connection::Connection, folder, options::Options, output};

/// Shows the differences between the stored configuration and the files.
pub(super) async fn run(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let connection = Connection::new(options)?;
    let loaded = folder::load(&options.folder)?;
    let mut reader = ConfigReader::new(connection.store()?);
    let stored = reader.read().await.change_context(CtlError::Store)?;
    let differences = apply::differences(&stored.plain_services(), &loaded.services);
    if options.json {
        let lines = difference_lines(&differences);
        let version = stored.version().get();
        output::line(format_args!(
            "{}",
            json!({ "version": version, "differences": lines })
        ));
    } else {
        output::line(format_args!("against version {}:", stored.version()));
        print_differences(&differences);
    }
    Ok(if differences.is_empty() {
        ExitStatus::Done
    } else {
        ExitStatus::Differs
    })
}

/// Returns the differences as lines of text.
pub(super) fn difference_lines(differences: &[Difference]) -> Vec<String> {
    differences.iter().map(ToString::to_string).collect()
}

/// Prints the differences, one per line.
pub(super) fn print_differences(differences: &[Difference]) {
    for difference in differences {
        output::line(format_args!("  {difference}"));
    }
    if differences.is_empty() {
        output::line(format_args!("  no differences"));
    }
}
