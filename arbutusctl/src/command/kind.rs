/// A command of the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Command {
    /// Checks the files.
    Check,
    /// Applies the files.
    Apply,
    /// Shows services, nodes and versions.
    Status,
    /// Shows the differences between the stored configuration and the files.
    Diff,
    /// Drains a backend server, so that it gets no new work.
    Drain,
    /// Reverts the drain of a backend server.
    Undrain,
    /// Shows which agent receives a packet.
    Explain,
    /// Prints changes of versions and states.
    Watch,
    /// Creates, extends or rotates a key set.
    Keys,
}

impl Command {
    /// Returns the command with the command line name `word`.
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

    /// Returns whether the command accepts the option `--name`.
    pub(crate) fn accepts_option(self, name: &str) -> bool {
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
