/// Why a token is not a binding of this system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BindingError {
    /// The token is longer than any binding.
    Oversized,
    /// It is not base64url, or too short.
    Encoding,
    /// Its key number is not valid here.
    UnknownKey,
    /// The MAC does not match.
    Mac,
    /// The fields cannot be read.
    Fields,
}
