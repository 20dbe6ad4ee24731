//! The operator's folder: small files that are merged in the order of their names.
//!
//! Every file is an object with the key `services` and, optionally, `override`. Later files add to
//! earlier ones. Two files that set the same value differently are a finding with both locations,
//! unless the later file has `"override": true`: then its values replace the earlier ones.
//!
//! Files whose name starts with a dot, subfolders and `.md` files are ignored.

mod base_file;
mod drain_file;
mod folder;
mod merge;
mod service;

pub use base_file::{BaseFile, BaseFileError, PendingChange};
pub use drain_file::DrainFile;
pub use folder::OperatorFolder;
