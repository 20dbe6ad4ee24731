//! Where the platform's key-value service is and how it is asked.

mod store_settings;

pub use store_settings::StoreSettings;
