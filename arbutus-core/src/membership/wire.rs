//! Messages as bytes: a version byte, then the message in postcard's encoding.

use super::Message;

/// The version of the encoding.
pub const VERSION: u8 = 1;
/// The largest message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1_024;

/// Why bytes are not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// It is empty or longer than [`MAX_MESSAGE_BYTES`].
    Length,
    /// It has another version.
    Version,
    /// It ends early, goes on after its end, or holds values that no message has.
    Malformed,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Length => "empty or too long",
            Self::Version => "unknown version",
            Self::Malformed => "malformed",
        })
    }
}

impl std::error::Error for WireError {}

/// Encodes a message.
///
/// # Panics
///
/// Never: postcard fails only for types that no message has.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_extend(message, vec![VERSION]).expect("messages have known lengths")
}

/// Decodes a message.
///
/// # Errors
///
/// Fails for bytes that [`encode`] can't have made.
pub fn decode(payload: &[u8]) -> Result<Message, WireError> {
    if payload.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::Length);
    }
    let (version, body) = payload.split_first().ok_or(WireError::Length)?;
    if *version != VERSION {
        return Err(WireError::Version);
    }
    let (message, rest) = postcard::take_from_bytes(body).map_err(|_| WireError::Malformed)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(WireError::Malformed)
    }
}
