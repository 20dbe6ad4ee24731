use std::{fs, path::Path, process::Command};

use error_stack::{Report, ResultExt};

use crate::task_error::TaskError;

/// One measurement of the set.
struct Measurement {
    /// Name of the file with its figures.
    name: &'static str,
    /// Arguments to `arbutus-bench`, the seed included.
    args: &'static [&'static str],
}

/// The whole set; the sizes are those of docs/CAPACITY.md and docs/POLICY.md.
const SET: [Measurement; 5] = [
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

/// Runs the set and writes one file for each measurement into `out`.
///
/// # Errors
///
/// Fails where a measurement does, or a file cannot be written.
pub(crate) fn run(out: &Path) -> Result<(), Report<TaskError>> {
    fs::create_dir_all(out).change_context(TaskError::Failed)?;
    for measurement in &SET {
        println!("measuring {}", measurement.name);
        let figures = measure(measurement)?;
        let path = out.join(measurement.name).with_extension("txt");
        fs::write(&path, figures).change_context(TaskError::Failed)?;
        println!("  {}", path.display());
    }
    Ok(())
}

/// Runs one measurement and gives its command and its output.
fn measure(measurement: &Measurement) -> Result<String, Report<TaskError>> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args(["run", "--release", "--quiet", "--package", "arbutus-bench"])
        .arg("--")
        .args(measurement.args);
    let output = command.output().change_context(TaskError::Failed)?;
    if !output.status.success() {
        let complaint = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(Report::new(TaskError::Failed)
            .attach(measurement.name)
            .attach(complaint));
    }
    let command = format!("arbutus-bench {}", measurement.args.join(" "));
    let figures = String::from_utf8_lossy(&output.stdout);
    Ok(format!("command: {command}\n\n{figures}"))
}
