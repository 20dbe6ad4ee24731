//! Encoding of messages: a version byte, followed by the message in postcard encoding.

use super::Message;

/// The version of the encoding.
pub const VERSION: u8 = 1;
/// The maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1_024;

/// Error returned when bytes cannot be decoded as a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// The input is empty or longer than [`MAX_MESSAGE_BYTES`].
    Length,
    /// The version byte is not [`VERSION`].
    Version,
    /// The body is truncated, has trailing bytes, or contains invalid values.
    Malformed,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Length => "message is empty or too long",
            Self::Version => "unknown message version",
            Self::Malformed => "malformed message",
        })
    }
}

impl std::error::Error for WireError {}

/// Encodes a message.
///
/// # Panics
///
/// Never: postcard fails only for types that messages do not contain.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_extend(message, vec![VERSION]).expect("messages have known lengths")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error for bytes that [`encode`] cannot have produced.
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
