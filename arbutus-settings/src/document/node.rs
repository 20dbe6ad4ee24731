use super::{Entry, Reader, Value};
use crate::findings::{Findings, Location};

/// A value with its location in a file.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// The location at which the value begins.
    pub location: Location,
    /// The value.
    pub value: Value,
}

impl Node {
    /// Returns the entries of an object.
    ///
    /// Adds a finding and returns `None` if the value is not an object.
    pub fn entries(&self, findings: &mut Findings) -> Option<&[Entry]> {
        match &self.value {
            Value::Object(entries) => Some(entries),
            other => {
                let message = format!("expected an object, found {}", other.kind());
                findings.add(&self.location, message);
                None
            }
        }
    }

    /// Returns a reader for the keys of an object.
    ///
    /// Adds a finding and returns `None` if the value is not an object.
    pub fn reader<'a>(&'a self, findings: &'a mut Findings) -> Option<Reader<'a>> {
        let entries = self.entries(findings)?;
        Some(Reader::new(&self.location, entries, findings))
    }
}
