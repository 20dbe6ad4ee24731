use std::{ffi::OsString, str::FromStr};

use error_stack::Report;
use lexopt::{Arg, Parser, ValueExt};

use crate::error::LabError;

/// One option of a subcommand's command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Argument {
    /// An option by its long name.
    Long(String),
    /// Anything else.
    Positional(OsString),
}

impl Argument {
    /// Whether it is the option with this long name.
    pub(super) fn is_long(&self, name: &str) -> bool {
        matches!(self, Self::Long(long) if long == name)
    }
}

/// Reads the command line of a subcommand.
pub(super) struct Args(Parser);

impl Args {
    pub(super) const fn new(parser: Parser) -> Self {
        Self(parser)
    }

    /// The next option, if there is one.
    pub(super) fn next(&mut self) -> Result<Option<Argument>, Report<LabError>> {
        match self.0.next().map_err(usage)? {
            None => Ok(None),
            Some(Arg::Long(name)) => Ok(Some(Argument::Long(name.to_owned()))),
            Some(Arg::Short('h')) => Ok(Some(Argument::Long(String::from("help")))),
            Some(Arg::Value(value)) => Ok(Some(Argument::Positional(value))),
            Some(other) => Err(usage(other.unexpected())),
        }
    }

    /// The value of the option just read.
    pub(super) fn value<T>(&mut self) -> Result<T, Report<LabError>>
    where
        T: FromStr,
        T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
    {
        let value = self.0.value().map_err(usage)?;
        value.parse().map_err(usage)
    }
}

/// Says that an option is not known.
pub(super) fn unexpected_argument(flag: &Argument) -> Report<LabError> {
    let text = match flag {
        Argument::Long(name) => format!("unknown option --{name}"),
        Argument::Positional(value) => format!("unexpected argument {}", value.display()),
    };
    Report::new(LabError::Usage(text))
}

/// Says that an option is missing.
pub(super) fn missing_option(name: &str) -> Report<LabError> {
    Report::new(LabError::Usage(format!("--{name} is missing")))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the shape that map_err asks for"
)]
fn usage(error: lexopt::Error) -> Report<LabError> {
    Report::new(LabError::Usage(error.to_string()))
}
