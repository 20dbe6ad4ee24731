use std::sync::Arc;

/// A position in a file, or a file as a whole.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file's name as the user wrote it.
    pub file: Arc<str>,
    /// The line, counted from 1; 0 for the file as a whole.
    pub line: usize,
    /// The column, counted in characters from 1; 0 for the file as a whole.
    pub column: usize,
}

impl Location {
    /// Creates a location.
    #[must_use]
    pub const fn new(file: Arc<str>, line: usize, column: usize) -> Self {
        Self { file, line, column }
    }

    /// Creates the location of a whole file.
    #[must_use]
    pub const fn whole_file(file: Arc<str>) -> Self {
        Self::new(file, 0, 0)
    }
}

impl std::fmt::Display for Location {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}
