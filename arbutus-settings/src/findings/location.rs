use std::sync::Arc;

/// A point in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file's name as the person named it.
    pub file: Arc<str>,
    /// Counted from 1; 0 for the file as a whole.
    pub line: usize,
    /// Counted in characters from 1; 0 for the file as a whole.
    pub column: usize,
}

impl Location {
    /// Makes a location.
    #[must_use]
    pub const fn new(file: Arc<str>, line: usize, column: usize) -> Self {
        Self { file, line, column }
    }

    /// Makes the location of a whole file.
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
