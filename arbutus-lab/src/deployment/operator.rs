use std::{
    ffi::OsStr,
    fs,
    path::{Path, PathBuf},
    process::Stdio,
};

use error_stack::{Report, ResultExt};
use serde_json::{Map, json};
use tokio::process::Command;

use super::{Layout, LiveNodes};
use crate::error::LabError;

/// Exit code of `arbutusctl` for an accepted change that is not yet in force at every node, for
/// example because a node is paused.
const EXIT_CODE_NOT_IN_FORCE_EVERYWHERE: i32 = 6;
/// Queue length of a service whose files set none; an ordinary change sets a greater length.
const DEFAULT_QUEUE_LENGTH: u64 = 20;

/// Operator of a deployment, who edits a folder of configuration files and runs `arbutusctl`.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Path of `arbutusctl`.
    program: PathBuf,
    /// Folder of the configuration files.
    folder: PathBuf,
    store_url: String,
    live: LiveNodes,
}

impl Operator {
    /// Creates an operator and writes the files that describe the services of `layout` into
    /// `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub fn new(
        program: &Path,
        folder: &Path,
        layout: &Layout,
        live: &LiveNodes,
    ) -> Result<Self, Report<LabError>> {
        fs::create_dir_all(folder).change_context(LabError::File)?;
        let mut services = Map::new();
        for (index, service) in layout.services().iter().enumerate() {
            let address = json!({ "address": layout.service_address(index) });
            services.insert(service.name.to_string(), address);
        }
        let text = format!("{:#}\n", json!({ "services": services }));
        fs::write(folder.join("10-services.jsonc"), text).change_context(LabError::File)?;
        Ok(Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            store_url: format!("http://{}", layout.store()),
            live: live.clone(),
        })
    }

    /// Creates a key set with certificates for `services` in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if `arbutusctl` fails.
    pub async fn make_keys(
        program: &Path,
        folder: &Path,
        services: &[&str],
    ) -> Result<(), Report<LabError>> {
        let mut args = vec![OsStr::new("keys"), OsStr::new("init"), folder.as_os_str()];
        for service in services {
            args.extend([OsStr::new("--service"), OsStr::new(service)]);
        }
        run_arbutusctl(program, &args).await.map(drop)
    }

    /// Applies the files and waits until the configuration is in force at the nodes that answer.
    ///
    /// # Errors
    ///
    /// Returns an error if `arbutusctl` fails.
    pub async fn apply(&self) -> Result<String, Report<LabError>> {
        self.run_subcommand("apply", None).await
    }

    /// Makes an ordinary change: sets another queue length for `service` and applies the files.
    ///
    /// `number` selects the queue length.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or `arbutusctl` fails.
    pub async fn change_queue_length(
        &self,
        service: &str,
        number: u64,
    ) -> Result<String, Report<LabError>> {
        let queue = DEFAULT_QUEUE_LENGTH + 1 + number % DEFAULT_QUEUE_LENGTH;
        let requests = json!({ "requests": { "queue": queue } });
        let text = format!("{:#}\n", json!({ "services": { service: requests } }));
        let path = self.folder.join("20-queue.jsonc");
        fs::write(path, text).change_context(LabError::File)?;
        self.apply().await
    }

    /// Drains a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if `arbutusctl` fails.
    pub async fn drain(&self, service: &str, name: &str) -> Result<String, Report<LabError>> {
        self.run_subcommand("drain", Some(&format!("{service}/{name}")))
            .await
    }

    /// Reverts the drain of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if `arbutusctl` fails.
    pub async fn undrain(&self, service: &str, name: &str) -> Result<String, Report<LabError>> {
        self.run_subcommand("undrain", Some(&format!("{service}/{name}")))
            .await
    }

    /// Runs a subcommand of `arbutusctl` with the operator's folder, the store and the running
    /// balancers.
    async fn run_subcommand(
        &self,
        command: &str,
        target: Option<&str>,
    ) -> Result<String, Report<LabError>> {
        let mut args = vec![OsStr::new(command)];
        args.extend(target.map(OsStr::new));
        args.extend([OsStr::new("--folder"), self.folder.as_os_str()]);
        args.extend([OsStr::new("--store"), OsStr::new(&self.store_url)]);
        let admins: Vec<String> = self
            .live
            .balancer_admin_addresses()
            .iter()
            .map(ToString::to_string)
            .collect();
        for admin in &admins {
            args.extend([OsStr::new("--admin"), OsStr::new(admin)]);
        }
        run_arbutusctl(&self.program, &args).await
    }
}

/// Runs `arbutusctl` and returns its standard output.
async fn run_arbutusctl(program: &Path, args: &[&OsStr]) -> Result<String, Report<LabError>> {
    let output = Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .change_context(LabError::Process)
        .attach_with(|| program.display().to_string())?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let code = output.status.code();
    if code == Some(0) || code == Some(EXIT_CODE_NOT_IN_FORCE_EVERYWHERE) {
        return Ok(text);
    }
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    Err(Report::new(LabError::Process)
        .attach(format!("{} {args:?}: {}", program.display(), output.status))
        .attach(text)
        .attach(errors))
}
