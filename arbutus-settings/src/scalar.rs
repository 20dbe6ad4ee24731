//! Parsers of single values, which add a finding for an invalid value.
//!
//! A parser receives the key (for the message), the value and the findings.

mod address;
mod list;
mod number;
mod text;

pub use address::{address, address_v4};
pub use list::list;
pub use number::{boolean, duration_ms, integer};
pub(crate) use text::is_name;
pub use text::{choice, file, name, text};
