use std::path::PathBuf;

use lexopt::{Arg, Parser};

/// What a daemon's command line asks for.
#[derive(Debug)]
pub(super) enum Command {
    /// Show the usage.
    Help,
    /// Show the version.
    Version,
    /// Check the settings in the file.
    Check(PathBuf),
    /// Run with the settings in the file.
    Run(PathBuf),
}

impl Command {
    /// Reads the command line; `config` is the settings file where it names none.
    ///
    /// # Errors
    ///
    /// Fails on an unknown argument, or where the settings file is missing.
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
