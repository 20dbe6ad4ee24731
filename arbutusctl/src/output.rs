//! The program's standard output.

use std::{fmt::Display, io::Write};

/// Prints one line.
///
/// A reader that went away, as `head` does, is no failure of the command.
pub(crate) fn line(text: impl Display) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints text as it is.
pub(crate) fn text(text: &str) {
    let _ = write!(std::io::stdout(), "{text}");
}
