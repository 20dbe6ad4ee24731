use std::{
    ffi::OsStr,
    fs::File,
    path::Path,
    process::{ExitStatus, Stdio},
    sync::Arc,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
    time,
};

use crate::error::LabError;

/// Time in which a stand-in must print its first line.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    name: Arc<str>,
    child: Child,
}

impl ManagedProcess {
    /// Starts `program` and appends its output to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or the file cannot be opened.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[impl AsRef<OsStr>],
        log: &Path,
    ) -> Result<Self, Report<LabError>> {
        let (stdout, stderr) = open_log(log)?;
        Self::spawn(name, program, args, Stdio::from(stdout), stderr)
    }

    /// Starts a stand-in and waits for the line that it prints when it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started, exits early or prints no line in time.
    pub async fn start_until_announced(
        name: &str,
        program: &Path,
        args: &[impl AsRef<OsStr>],
        log: &Path,
    ) -> Result<Self, Report<LabError>> {
        let (_, stderr) = open_log(log)?;
        let mut process = Self::spawn(name, program, args, Stdio::piped(), stderr)?;
        let stdout = process.child.stdout.take();
        let mut lines = BufReader::new(stdout.ok_or(LabError::Process)?).lines();
        let line = time::timeout(ANNOUNCEMENT_TIMEOUT, lines.next_line()).await;
        match line {
            Ok(Ok(Some(_))) => Ok(process),
            _ => Err(Report::new(LabError::NotReady)
                .attach(name.to_owned())
                .attach(format!("see {}", log.display()))),
        }
    }

    fn spawn(
        name: &str,
        program: &Path,
        args: &[impl AsRef<OsStr>],
        stdout: Stdio,
        stderr: File,
    ) -> Result<Self, Report<LabError>> {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .change_context(LabError::Process)
            .attach_with(|| program.display().to_string())?;
        Ok(Self {
            name: Arc::from(name),
            child,
        })
    }

    /// Returns the name of the process.
    #[must_use]
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<(), Report<LabError>> {
        let pid = self.child.id().and_then(|id| i32::try_from(id).ok());
        let pid = pid.ok_or_else(|| {
            Report::new(LabError::Process).attach(format!("{} has exited", self.name))
        })?;
        signal::kill(Pid::from_raw(pid), signal).change_context(LabError::Process)
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exit within `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, Report<LabError>> {
        time::timeout(timeout, self.child.wait())
            .await
            .change_context(LabError::Process)
            .attach_with(|| format!("{} did not exit within {timeout:?}", self.name))?
            .change_context(LabError::Process)
    }

    /// Returns the exit status, or `None` if the process is still running.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed or waited for.
    pub async fn kill(&mut self) -> Result<(), Report<LabError>> {
        self.child.kill().await.change_context(LabError::Process)
    }
}

/// Opens a log file for appending and returns two handles of it, for stdout and stderr.
fn open_log(log: &Path) -> Result<(File, File), Report<LabError>> {
    let file = File::options()
        .create(true)
        .append(true)
        .open(log)
        .change_context(LabError::File)
        .attach_with(|| log.display().to_string())?;
    let second = file.try_clone().change_context(LabError::File)?;
    Ok((file, second))
}
