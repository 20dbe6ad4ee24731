//! The loading of certificates and private keys from the files that the settings name.

mod identity;
mod load;

pub use identity::{ControlTls, Identity};
pub use load::{load_authorities, load_identity};
pub(crate) use load::{read_control, read_identity};
