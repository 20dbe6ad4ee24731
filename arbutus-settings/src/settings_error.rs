/// Why settings could not be loaded.
///
/// The report that carries it has the [`crate::findings::Findings`] attached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable,
    /// The files were read, and something in them is wrong.
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
