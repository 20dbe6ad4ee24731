use std::{ffi::OsString, str::FromStr, time::Duration};

use error_stack::Report;
use lexopt::{Arg, Parser, ValueExt};

use super::{Invocation, Options};
use crate::{CtlError, command::Command};

/// Parses the arguments after the program's name.
pub(crate) fn parse(
    args: impl IntoIterator<Item = OsString>,
) -> Result<Invocation, Report<CtlError>> {
    let mut parser = Parser::from_args(args);
    let mut command = None;
    let mut options = Options::default();
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Invocation::Help(command)),
            Arg::Long("version") | Arg::Short('V') => return Ok(Invocation::Version),
            Arg::Value(word) if command.is_none() => {
                let word = word.string().map_err(usage)?;
                command = Some(Command::parse(&word).ok_or_else(|| unknown(&word))?);
            }
            Arg::Value(word) => options.arguments.push(word.string().map_err(usage)?),
            Arg::Long(name) => {
                let name = name.to_owned();
                let allowed = command.is_some_and(|command| command.accepts_option(&name));
                if !allowed {
                    return Err(unknown(&format!("--{name}")));
                }
                set_option(&mut options, &name, &mut parser)?;
            }
            Arg::Short(name) => return Err(unknown(&format!("-{name}"))),
        }
    }
    match command {
        None => Err(Report::new(CtlError::Usage).attach("no command is given")),
        Some(command) => Ok(Invocation::Run(command, Box::new(options))),
    }
}

/// Sets the option `--name`, and reads its value if the option takes one.
fn set_option(
    options: &mut Options,
    name: &str,
    parser: &mut Parser,
) -> Result<(), Report<CtlError>> {
    match name {
        "json" => options.json = true,
        "allow-removal" => options.allow_removal = true,
        "folder" => options.folder = value::<String>(parser)?.into(),
        "store" => options.store = Some(value(parser)?),
        "prefix" => options.prefix = Some(value(parser)?),
        "admin" => options.admin.push(value(parser)?),
        "onto" => options.onto = Some(value(parser)?),
        "wait-ms" => options.node_timeout = Duration::from_millis(value(parser)?),
        "try-ms" => options.retry_timeout = Duration::from_millis(value(parser)?),
        "by" => options.author = Some(value(parser)?),
        "caller" => options.caller = Some(value(parser)?),
        "to" => options.to = Some(value(parser)?),
        "dcid" => options.dcid = Some(value(parser)?),
        "keys" => options.keys = Some(value::<String>(parser)?.into()),
        "service" => options.services.push(value(parser)?),
        "for-ms" => options.watch_duration = Some(Duration::from_millis(value(parser)?)),
        _ => return Err(unknown(&format!("--{name}"))),
    }
    Ok(())
}

/// Reads and parses the value of an option.
fn value<T: FromStr>(parser: &mut Parser) -> Result<T, Report<CtlError>>
where
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let value = parser.value().map_err(usage)?;
    value.parse().map_err(usage)
}

fn unknown(word: &str) -> Report<CtlError> {
    Report::new(CtlError::Usage).attach(format!("unknown command or option `{word}`"))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "map_err passes the error by value"
)]
fn usage(error: lexopt::Error) -> Report<CtlError> {
    Report::new(CtlError::Usage).attach(error.to_string())
}
