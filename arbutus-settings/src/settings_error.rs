/// The error of loading settings.
///
/// The report of [`Self::Findings`] has the [`crate::findings::Findings`] attached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable,
    /// The files were read and have findings.
    Findings,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Unreadable => "the settings could not be read",
            Self::Findings => "the settings have findings",
        })
    }
}

impl std::error::Error for SettingsError {}
