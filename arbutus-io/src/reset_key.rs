//! The key for QUIC stateless reset tokens.

use std::sync::Arc;

use arbutus_core::keys::SystemKey;
use quinn::crypto::HmacKey;
use ring::hmac;

/// Returns the reset key that belongs to `key`.
///
/// All processes of the system use the same reset key. A process can therefore reset connections of
/// an earlier process at its address, and the peers end them at once instead of by timeout.
#[must_use]
pub fn from_system_key(key: &SystemKey) -> Arc<dyn HmacKey> {
    Arc::new(hmac::Key::new(hmac::HMAC_SHA256, key.reset_token_key()))
}
