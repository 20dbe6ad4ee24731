use std::collections::BTreeSet;

use error_stack::Report;

use super::{Finding, Location};
use crate::SettingsError;

/// A collection of findings in one or more files, ordered by location.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Findings {
    entries: BTreeSet<Finding>,
}

impl Findings {
    /// Creates an empty collection.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            entries: BTreeSet::new(),
        }
    }

    /// Adds a finding.
    pub fn add(&mut self, location: &Location, message: impl Into<String>) {
        self.entries.insert(Finding {
            location: location.clone(),
            message: message.into(),
        });
    }

    /// Returns whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of findings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the findings, ordered by location.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.entries.iter()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns an error with all findings attached if there are any, or if `value` is `None`.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Report<SettingsError>> {
        match value {
            Some(value) if self.is_empty() => Ok(value),
            _ => Err(Report::new(SettingsError::Findings).attach(self)),
        }
    }
}

impl std::fmt::Display for Findings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for finding in &self.entries {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}
