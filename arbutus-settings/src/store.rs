//! The settings for access to the platform's key-value service.

mod store_settings;

pub use store_settings::StoreSettings;
