//! The program's standard output.

use std::{fmt::Display, io::Write};

/// Prints one line.
///
/// Write errors are ignored: a closed pipe, for example after `head`, is not an error of the
/// command.
pub(crate) fn line(text: impl Display) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints text without a line break.
pub(crate) fn text(text: &str) {
    let _ = write!(std::io::stdout(), "{text}");
}
