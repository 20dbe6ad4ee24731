use std::{fs, path::Path, process::Command};

use error_stack::{Report, ResultExt};

use crate::task_error::TaskError;

/// A measurement with its arguments.
struct Measurement {
    /// Name of the output file, without its extension.
    name: &'static str,
    /// Arguments to `arbutus-bench`, including the seed.
    args: &'static [&'static str],
}

/// All measurements, with the sizes that docs/CAPACITY.md and docs/POLICY.md use.
const MEASUREMENTS: [Measurement; 5] = [
    Measurement {
        name: "data-path",
        args: &["data-path", "--trials", "5", "--seconds", "2"],
    },
    Measurement {
        name: "policy",
        args: &["policy", "--seed", "1"],
    },
    Measurement {
        name: "requests",
        args: &["requests", "--seed", "1"],
    },
    Measurement {
        name: "membership",
        args: &["membership", "--seed", "1"],
    },
    Measurement {
        name: "configuration",
        args: &["configuration"],
    },
];

/// Runs all measurements and writes one file for each into `output_dir`.
///
/// # Errors
///
/// Returns an error if a measurement fails or a file cannot be written.
pub(crate) fn run(output_dir: &Path) -> Result<(), Report<TaskError>> {
    fs::create_dir_all(output_dir).change_context(TaskError::Failed)?;
    for measurement in &MEASUREMENTS {
        println!("measuring {}", measurement.name);
        let figures = measure(measurement)?;
        let path = output_dir.join(measurement.name).with_extension("txt");
        fs::write(&path, figures).change_context(TaskError::Failed)?;
        println!("  {}", path.display());
    }
    Ok(())
}

/// Runs one measurement and returns its command and output.
fn measure(measurement: &Measurement) -> Result<String, Report<TaskError>> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args(["run", "--release", "--quiet", "--package", "arbutus-bench"])
        .arg("--")
        .args(measurement.args);
    let output = command.output().change_context(TaskError::Failed)?;
    if !output.status.success() {
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(Report::new(TaskError::Failed)
            .attach(measurement.name)
            .attach(stderr));
    }
    let command = format!("arbutus-bench {}", measurement.args.join(" "));
    let figures = String::from_utf8_lossy(&output.stdout);
    Ok(format!("command: {command}\n\n{figures}"))
}
