use super::{Entry, Node};
use crate::findings::{Findings, Location};

/// Reads the keys of one object and reports those nobody asked for.
#[derive(Debug)]
pub struct Reader<'a> {
    location: &'a Location,
    entries: &'a [Entry],
    findings: &'a mut Findings,
    /// Every key that was asked for, present or not.
    known: Vec<&'static str>,
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
            known: Vec::new(),
        }
    }

    /// The value of `key`; a finding if it is missing or wrong.
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

    /// The value of `key`, or `default` if it is missing; a finding if it is wrong.
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

    /// The value of `key` if it is there; a finding if it is wrong.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str, &Node, &mut Findings) -> Option<T>,
    ) -> Option<T> {
        let node = self.node(key)?;
        parse(key, node, self.findings)
    }

    /// The value of `key` as it stands.
    pub fn node(&mut self, key: &'static str) -> Option<&'a Node> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        let entry = self.entries.iter().find(|entry| &*entry.key == key)?;
        Some(&entry.node)
    }

    /// Reports the keys that nobody asked for, each with the nearest known one.
    pub fn finish(self) {
        for entry in self.entries {
            if self.known.contains(&&*entry.key) {
                continue;
            }
            let message = match nearest(&entry.key, &self.known) {
                Some(known) => {
                    format!("unknown key `{}`; did you mean `{known}`?", entry.key)
                }
                None => format!(
                    "unknown key `{}`; known here: {}",
                    entry.key,
                    self.known.join(", ")
                ),
            };
            self.findings.add(&entry.location, message);
        }
    }
}

/// Similarity (Jaro-Winkler) from which a known key is suggested.
const SUGGESTION_THRESHOLD: f64 = 0.7;

fn nearest(key: &str, known: &[&'static str]) -> Option<&'static str> {
    known
        .iter()
        .map(|known| (strsim::jaro_winkler(key, known), *known))
        .filter(|(similarity, _)| *similarity >= SUGGESTION_THRESHOLD)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, known)| known)
}
