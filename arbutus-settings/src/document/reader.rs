use super::{Entry, Node};
use crate::findings::{Findings, Location};

/// A reader of the keys of one object, which reports unknown keys.
#[derive(Debug)]
pub struct Reader<'a> {
    location: &'a Location,
    entries: &'a [Entry],
    findings: &'a mut Findings,
    /// The keys that were read so far, whether present or not.
    known_keys: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    pub(super) const fn new(
        location: &'a Location,
        entries: &'a [Entry],
        findings: &'a mut Findings,
    ) -> Self {
        Self {
            location,
            entries,
            findings,
            known_keys: Vec::new(),
        }
    }

    /// Returns the value of `key`; adds a finding if the key is missing or its value is invalid.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str, &Node, &mut Findings) -> Option<T>,
    ) -> Option<T> {
        if self.node(key).is_none() {
            let message = format!("the key `{key}` is missing");
            self.findings.add(self.location, message);
        }
        self.optional(key, parse)
    }

    /// Returns the value of `key`, or `default` if the key is missing.
    ///
    /// Adds a finding if the value is invalid.
    pub fn optional_or<T>(
        &mut self,
        key: &'static str,
        default: T,
        parse: impl FnOnce(&str, &Node, &mut Findings) -> Option<T>,
    ) -> Option<T> {
        match self.node(key) {
            Some(_) => self.optional(key, parse),
            None => Some(default),
        }
    }

    /// Returns the value of `key` if the key is present; adds a finding if the value is invalid.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str, &Node, &mut Findings) -> Option<T>,
    ) -> Option<T> {
        let node = self.node(key)?;
        parse(key, node, self.findings)
    }

    /// Returns the unparsed value of `key`.
    pub fn node(&mut self, key: &'static str) -> Option<&'a Node> {
        if !self.known_keys.contains(&key) {
            self.known_keys.push(key);
        }
        let entry = self.entries.iter().find(|entry| &*entry.key == key)?;
        Some(&entry.node)
    }

    /// Adds a finding for each key that was never read, with the most similar known key.
    pub fn finish(self) {
        for entry in self.entries {
            if self.known_keys.contains(&&*entry.key) {
                continue;
            }
            let message = match most_similar(&entry.key, &self.known_keys) {
                Some(known) => {
                    format!("unknown key `{}`; did you mean `{known}`?", entry.key)
                }
                None => format!(
                    "unknown key `{}`; known keys: {}",
                    entry.key,
                    self.known_keys.join(", ")
                ),
            };
            self.findings.add(&entry.location, message);
        }
    }
}

/// The minimum Jaro-Winkler similarity of a known key that is suggested for an unknown one.
const SUGGESTION_THRESHOLD: f64 = 0.7;

/// Returns the known key that is most similar to `key`, if any is similar enough.
fn most_similar(key: &str, known_keys: &[&'static str]) -> Option<&'static str> {
    known_keys
        .iter()
        .map(|known| (strsim::jaro_winkler(key, known), *known))
        .filter(|(similarity, _)| *similarity >= SUGGESTION_THRESHOLD)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, known)| known)
}
