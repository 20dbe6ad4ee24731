use super::{Entry, Reader, Value};
use crate::findings::{Findings, Location};

/// A value with its location.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Where it begins.
    pub location: Location,
    /// What it is.
    pub value: Value,
}

impl Node {
    /// The entries of an object; a finding and `None` for any other value.
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

    /// A reader of an object's keys; a finding and `None` for any other value.
    pub fn reader<'a>(&'a self, findings: &'a mut Findings) -> Option<Reader<'a>> {
        let entries = self.entries(findings)?;
        Some(Reader::new(&self.location, entries, findings))
    }
}
