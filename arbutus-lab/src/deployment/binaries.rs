use std::{
    env,
    ffi::OsString,
    path::{Path, PathBuf},
    process::Command,
};

use error_stack::{Report, ResultExt};

use crate::error::LabError;

/// Programs that a deployment needs beside the stand-ins.
const PROGRAM_NAMES: [&str; 3] = ["arbutus-balancer", "arbutus-agent", "arbutusctl"];

/// Paths of the programs of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binaries {
    /// The balancer daemon.
    pub balancer: PathBuf,
    /// The agent daemon.
    pub agent: PathBuf,
    /// The operator's command-line tool.
    pub arbutusctl: PathBuf,
    /// The program of the stand-ins.
    pub lab: PathBuf,
}

impl Binaries {
    /// Finds the programs beside `lab`, the program of the stand-ins.
    ///
    /// Builds them first if one is missing or if this process was started by cargo. In the latter
    /// case a program could be older than its source; cargo skips programs that are up to date.
    ///
    /// # Errors
    ///
    /// Returns an error if the programs cannot be built.
    pub fn find(lab: &Path) -> Result<Self, Report<LabError>> {
        let folder = lab.parent().unwrap_or(Path::new("."));
        // Test executables are in `deps`, one folder below the programs.
        let folder = match folder.file_name() {
            Some(name) if name == "deps" => folder.parent().unwrap_or(folder),
            _ => folder,
        };
        let program = |name: &str| folder.join(format!("{name}{}", env::consts::EXE_SUFFIX));
        let by_cargo = env::var_os("CARGO").is_some();
        if by_cargo
            || PROGRAM_NAMES
                .into_iter()
                .any(|name| !program(name).exists())
        {
            build(folder)?;
        }
        Ok(Self {
            balancer: program(PROGRAM_NAMES[0]),
            agent: program(PROGRAM_NAMES[1]),
            arbutusctl: program(PROGRAM_NAMES[2]),
            lab: lab.to_owned(),
        })
    }

    /// Finds the programs beside the running executable.
    ///
    /// # Errors
    ///
    /// Returns an error if the programs cannot be built.
    pub fn find_beside_current_exe() -> Result<Self, Report<LabError>> {
        let own = env::current_exe().change_context(LabError::File)?;
        Self::find(&own)
    }
}

/// Builds the programs into `folder`, with the cargo profile of that folder.
fn build(folder: &Path) -> Result<(), Report<LabError>> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| OsString::from("cargo"));
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../Cargo.toml");
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet", "--locked", "--bins", "--manifest-path"])
        .arg(manifest);
    for name in PROGRAM_NAMES {
        command.args(["-p", name]);
    }
    if let Some(target) = folder.parent() {
        command.arg("--target-dir").arg(target);
    }
    if folder.file_name().is_some_and(|name| name == "release") {
        command.arg("--release");
    }
    let status = command.status().change_context(LabError::Process)?;
    if status.success() {
        Ok(())
    } else {
        Err(Report::new(LabError::Process)
            .attach("cargo failed to build the balancer, the agent and arbutusctl"))
    }
}
