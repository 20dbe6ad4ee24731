//! The daemon's command line.

use std::path::PathBuf;

use lexopt::{Arg, Parser};

/// What the command line asks for.
#[derive(Debug)]
pub(crate) struct Arguments {
    /// The one thing to do.
    pub(crate) command: Command,
}

/// A thing to do.
#[derive(Debug)]
pub(crate) enum Command {
    /// Show the usage.
    Help,
    /// Show the version.
    Version,
    /// Check the settings in the file.
    Check(PathBuf),
    /// Run with the settings in the file.
    Run(PathBuf),
}

impl Arguments {
    /// Reads the command line.
    ///
    /// # Errors
    ///
    /// Fails on an unknown argument, or where the settings file is missing.
    pub(crate) fn parse(mut parser: Parser) -> Result<Self, lexopt::Error> {
        let mut config = None;
        let mut check = false;
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("config") => config = Some(PathBuf::from(parser.value()?)),
                Arg::Long("check-config") => check = true,
                Arg::Long("help") | Arg::Short('h') => return Ok(Self::of(Command::Help)),
                Arg::Long("version") => return Ok(Self::of(Command::Version)),
                arg => return Err(arg.unexpected()),
            }
        }
        let path = config.ok_or("--config FILE is missing")?;
        Ok(Self::of(if check {
            Command::Check(path)
        } else {
            Command::Run(path)
        }))
    }

    const fn of(command: Command) -> Self {
        Self { command }
    }
}
