use std::path::PathBuf;

use lexopt::{Arg, Parser};

/// The command that a daemon's command line requests.
#[derive(Debug)]
pub(super) enum Command {
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Check the settings in the given file.
    Check(PathBuf),
    /// Run with the settings in the given file.
    Run(PathBuf),
}

impl Command {
    /// Parses the command line. `config` is the default settings file.
    ///
    /// # Errors
    ///
    /// Fails on an unknown argument, or if no settings file is given.
    pub(super) fn parse(
        mut parser: Parser,
        mut config: Option<PathBuf>,
    ) -> Result<Self, lexopt::Error> {
        let mut check = false;
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("config") => config = Some(PathBuf::from(parser.value()?)),
                Arg::Long("check-config") => check = true,
                Arg::Long("help") | Arg::Short('h') => return Ok(Self::Help),
                Arg::Long("version") => return Ok(Self::Version),
                arg => return Err(arg.unexpected()),
            }
        }
        let path = config.ok_or("--config FILE is missing")?;
        Ok(if check {
            Self::Check(path)
        } else {
            Self::Run(path)
        })
    }
}
