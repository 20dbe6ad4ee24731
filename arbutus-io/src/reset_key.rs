//! The key of QUIC stateless reset tokens.

use std::sync::Arc;

use arbutus_core::keys::SystemKey;
use quinn::crypto::HmacKey;
use ring::hmac;

/// The reset key of `key`.
///
/// Every process of the system has the same, so that a process can tell the peer of a connection
/// that an earlier process at its address had, and that connection ends at once.
#[must_use]
pub fn of(key: &SystemKey) -> Arc<dyn HmacKey> {
    Arc::new(hmac::Key::new(hmac::HMAC_SHA256, key.reset_token_key()))
}
