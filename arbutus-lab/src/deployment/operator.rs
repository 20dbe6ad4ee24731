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

/// Exit code of `arbutusctl` for a change that some node does not have in force yet, as one that
/// is paused does not.
const EXIT_CODE_NOT_IN_FORCE_EVERYWHERE: i32 = 6;
/// Length of the queue of a service whose files set none; an ordinary change sets a longer one.
const DEFAULT_QUEUE_LENGTH: u64 = 20;

/// The operator of a deployment: a folder of files, and `arbutusctl`.
#[derive(Debug, Clone)]
pub struct Operator {
    program: PathBuf,
    /// The operator's files.
    folder: PathBuf,
    store_url: String,
    live: LiveNodes,
}

impl Operator {
    /// Writes the files that describe the services of `layout` into `folder`.
    ///
    /// # Errors
    ///
    /// Fails where a file cannot be written.
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

    /// Makes a set of keys with certificates for `services`.
    ///
    /// # Errors
    ///
    /// Fails where `arbutusctl` does.
    pub async fn make_keys(
        program: &Path,
        folder: &Path,
        services: &[&str],
    ) -> Result<(), Report<LabError>> {
        let mut args = vec![OsStr::new("keys"), OsStr::new("init"), folder.as_os_str()];
        for service in services {
            args.extend([OsStr::new("--service"), OsStr::new(service)]);
        }
        call(program, &args).await.map(drop)
    }

    /// Applies the files; ends when the configuration is in force at the nodes that answer.
    ///
    /// # Errors
    ///
    /// Fails where `arbutusctl` does.
    pub async fn apply(&self) -> Result<String, Report<LabError>> {
        self.call("apply", None).await
    }

    /// Makes an ordinary change: edits a small file and applies.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be written or `arbutusctl` fails.
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
    /// Fails where `arbutusctl` does.
    pub async fn drain(&self, service: &str, name: &str) -> Result<String, Report<LabError>> {
        self.call("drain", Some(&format!("{service}/{name}"))).await
    }

    /// Takes a drain back.
    ///
    /// # Errors
    ///
    /// Fails where `arbutusctl` does.
    pub async fn undrain(&self, service: &str, name: &str) -> Result<String, Report<LabError>> {
        self.call("undrain", Some(&format!("{service}/{name}")))
            .await
    }

    async fn call(&self, command: &str, on: Option<&str>) -> Result<String, Report<LabError>> {
        let mut args = vec![OsStr::new(command)];
        args.extend(on.map(OsStr::new));
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
        call(&self.program, &args).await
    }
}

async fn call(program: &Path, args: &[&OsStr]) -> Result<String, Report<LabError>> {
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
