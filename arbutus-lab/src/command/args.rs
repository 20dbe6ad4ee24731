use std::{ffi::OsString, str::FromStr};

use error_stack::Report;
use lexopt::{Arg, Parser, ValueExt};

use crate::error::LabError;

/// Argument on the command line of a subcommand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Argument {
    /// An option, by its long name.
    Long(String),
    /// An argument that is not an option.
    Positional(OsString),
}

impl Argument {
    /// Returns whether the argument is the option with this long name.
    pub(super) fn is_long(&self, name: &str) -> bool {
        matches!(self, Self::Long(long) if long == name)
    }
}

/// Reader of the command line of a subcommand.
pub(super) struct Args(Parser);

impl Args {
    /// Creates a reader of the arguments that `parser` has left.
    pub(super) const fn new(parser: Parser) -> Self {
        Self(parser)
    }

    /// Returns the next argument, or `None` at the end of the command line.
    pub(super) fn next(&mut self) -> Result<Option<Argument>, Report<LabError>> {
        match self.0.next().map_err(usage_error)? {
            None => Ok(None),
            Some(Arg::Long(name)) => Ok(Some(Argument::Long(name.to_owned()))),
            Some(Arg::Short('h')) => Ok(Some(Argument::Long(String::from("help")))),
            Some(Arg::Value(value)) => Ok(Some(Argument::Positional(value))),
            Some(other) => Err(usage_error(other.unexpected())),
        }
    }

    /// Returns the value of the option that was read last.
    pub(super) fn value<T>(&mut self) -> Result<T, Report<LabError>>
    where
        T: FromStr,
        T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
    {
        let value = self.0.value().map_err(usage_error)?;
        value.parse().map_err(usage_error)
    }
}

/// Returns the error for an argument that the subcommand does not accept.
pub(super) fn unexpected_argument(argument: &Argument) -> Report<LabError> {
    let text = match argument {
        Argument::Long(name) => format!("unknown option --{name}"),
        Argument::Positional(value) => format!("unexpected argument {}", value.display()),
    };
    Report::new(LabError::Usage(text))
}

/// Returns the error for a required option that is missing.
pub(super) fn missing_option(name: &str) -> Report<LabError> {
    Report::new(LabError::Usage(format!("--{name} is missing")))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "map_err passes the error by value"
)]
fn usage_error(error: lexopt::Error) -> Report<LabError> {
    Report::new(LabError::Usage(error.to_string()))
}
