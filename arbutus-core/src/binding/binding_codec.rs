use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::{BindingClaim, BindingError};
use crate::keys::{KeyRing, SystemKey};

/// Longest token that is read, in characters.
pub const MAX_TOKEN_CHARS: usize = 160;

const MAC_BYTES: usize = 16;

/// Makes the token of `claim`, authenticated with the current key.
///
/// Shape, in base64url: key number (1 byte), fields (postcard), MAC (16 bytes).
///
/// # Panics
///
/// Never: the fields have no form that postcard refuses.
#[must_use]
pub fn encode(claim: &BindingClaim, keys: &KeyRing) -> String {
    let mut bytes = vec![keys.current_number()];
    bytes = postcard::to_extend(claim, bytes).expect("plain fields are encodable");
    let code = mac(keys.current(), &bytes).finalize().into_bytes();
    bytes.extend_from_slice(&code[..MAC_BYTES]);
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Reads and authenticates a token.
///
/// # Errors
///
/// Fails where the token was not made by this system with a key that is still valid.
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

fn mac(key: &SystemKey, covered: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.binding_key()).expect("HMAC takes keys of any length");
    mac.update(covered);
    mac
}
