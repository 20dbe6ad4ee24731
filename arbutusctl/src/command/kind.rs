/// What the operator may ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Command {
    /// Check the files.
    Check,
    /// Bring the files into force.
    Apply,
    /// Show what is in force where.
    Status,
    /// Show how the files differ from what is in force.
    Diff,
    /// Take a backend server out of new work.
    Drain,
    /// Take back a drain.
    Undrain,
    /// Tell one packet's way.
    Explain,
    /// Follow changes of versions and states.
    Watch,
    /// Make, extend or rotate a set of keys.
    Keys,
}

impl Command {
    /// The command called `word`.
    pub(crate) fn parse(word: &str) -> Option<Self> {
        Some(match word {
            "check" => Self::Check,
            "apply" => Self::Apply,
            "status" => Self::Status,
            "diff" => Self::Diff,
            "drain" => Self::Drain,
            "undrain" => Self::Undrain,
            "explain" => Self::Explain,
            "watch" => Self::Watch,
            "keys" => Self::Keys,
            _ => return None,
        })
    }

    /// Whether the command takes the option `--name`.
    pub(crate) fn takes(self, name: &str) -> bool {
        self.options().contains(&name)
    }

    const fn options(self) -> &'static [&'static str] {
        match self {
            Self::Check => &["folder", "json"],
            Self::Apply => &[
                "folder",
                "store",
                "prefix",
                "admin",
                "json",
                "allow-removal",
                "onto",
                "wait-ms",
                "try-ms",
                "by",
            ],
            Self::Drain | Self::Undrain => &[
                "folder", "store", "prefix", "admin", "json", "wait-ms", "try-ms", "by",
            ],
            Self::Status | Self::Diff => &["folder", "store", "prefix", "admin", "json"],
            Self::Watch => &["folder", "store", "prefix", "admin", "for-ms"],
            Self::Explain => &[
                "folder", "store", "prefix", "admin", "json", "caller", "to", "dcid", "keys",
            ],
            Self::Keys => &["service"],
        }
    }
}
