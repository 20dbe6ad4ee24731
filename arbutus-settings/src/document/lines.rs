use std::sync::Arc;

use crate::findings::Location;

/// An index that converts byte offsets into lines and columns.
#[derive(Debug)]
pub(super) struct Lines<'a> {
    file: Arc<str>,
    text: &'a str,
    /// The byte offset of the start of each line, in strictly ascending order; the first is 0.
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    pub(super) fn new(file: Arc<str>, text: &'a str) -> Self {
        let line_starts = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let starts = std::iter::once(0).chain(line_starts).collect();
        Self { file, text, starts }
    }

    /// Returns the location of a byte offset.
    pub(super) fn location(&self, offset: usize) -> Location {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        Location::new(self.file.clone(), line, before.chars().count() + 1)
    }
}
