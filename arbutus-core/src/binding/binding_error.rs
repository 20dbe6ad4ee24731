/// The reason why a token is not a valid binding of this system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BindingError {
    /// The token is longer than any binding.
    Oversized,
    /// The token is not base64url, or is too short.
    Encoding,
    /// The key number is not known to this process.
    UnknownKey,
    /// The MAC does not match.
    Mac,
    /// The fields cannot be decoded.
    Fields,
}
