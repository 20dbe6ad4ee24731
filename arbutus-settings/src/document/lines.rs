use std::sync::Arc;

use crate::findings::Location;

/// Finds the line and column of a byte offset.
#[derive(Debug)]
pub(super) struct Lines<'a> {
    file: Arc<str>,
    text: &'a str,
    /// Byte offset of the first character of each line; rises strictly, the first is 0.
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    pub(super) fn new(file: Arc<str>, text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let starts = std::iter::once(0).chain(after_breaks).collect();
        Self { file, text, starts }
    }

    pub(super) fn location(&self, offset: usize) -> Location {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        Location::new(self.file.clone(), line, before.chars().count() + 1)
    }
}
