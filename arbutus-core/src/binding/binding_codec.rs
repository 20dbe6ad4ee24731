use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::{BindingClaim, BindingError};
use crate::keys::{KeyRing, SystemKey};

/// Maximum length of a token that is decoded, in characters.
pub const MAX_TOKEN_CHARS: usize = 160;

/// Length of the truncated MAC, in bytes.
const MAC_BYTES: usize = 16;

/// Encodes `claim` as a token that is authenticated with the current key.
///
/// The token is the base64url encoding of the key number (1 byte), the fields (postcard) and the
/// MAC (16 bytes).
///
/// # Panics
///
/// Never: postcard encodes any value of the fields.
#[must_use]
pub fn encode(claim: &BindingClaim, keys: &KeyRing) -> String {
    let mut bytes = vec![keys.current_number()];
    bytes = postcard::to_extend(claim, bytes).expect("postcard encodes any binding claim");
    let code = mac(keys.current(), &bytes).finalize().into_bytes();
    bytes.extend_from_slice(&code[..MAC_BYTES]);
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Authenticates and decodes a token.
///
/// # Errors
///
/// Returns an error if the token was not made by this system with a key that is still valid.
pub fn decode(token: &str, keys: &KeyRing) -> Result<BindingClaim, BindingError> {
    if token.len() > MAX_TOKEN_CHARS {
        return Err(BindingError::Oversized);
    }
    let bytes = URL_SAFE_NO_PAD
        .decode(token)
        .map_err(|_| BindingError::Encoding)?;
    let (covered, code) = bytes
        .split_last_chunk::<MAC_BYTES>()
        .ok_or(BindingError::Encoding)?;
    let (number, fields) = covered.split_first().ok_or(BindingError::Encoding)?;
    let key = keys.get(*number).ok_or(BindingError::UnknownKey)?;
    mac(key, covered)
        .verify_truncated_left(code)
        .map_err(|_| BindingError::Mac)?;
    match postcard::take_from_bytes(fields) {
        Ok((claim, [])) => Ok(claim),
        _ => Err(BindingError::Fields),
    }
}

/// Returns the MAC state over `covered`.
fn mac(key: &SystemKey, covered: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.binding_key()).expect("HMAC accepts keys of any length");
    mac.update(covered);
    mac
}
