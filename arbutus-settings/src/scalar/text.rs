use std::{
    path::{Path, PathBuf},
    sync::Arc,
};

use crate::{
    document::{Node, Value},
    findings::Findings,
};

/// Parses a string that is not empty.
pub fn text(key: &str, node: &Node, findings: &mut Findings) -> Option<Arc<str>> {
    let message = match &node.value {
        Value::Text(text) if !text.is_empty() => return Some(text.clone()),
        Value::Text(_) => format!("`{key}` must not be empty"),
        other => format!("`{key}` must be a string, found {}", other.kind()),
    };
    findings.add(&node.location, message);
    None
}

/// Parses a name: 1 to 63 lower-case letters, digits and hyphens, with a letter or digit at both
/// ends.
pub fn name(key: &str, node: &Node, findings: &mut Findings) -> Option<Arc<str>> {
    let written = text(key, node, findings)?;
    if is_name(&written) {
        return Some(written);
    }
    let message = format!(
        "`{key}` must be 1 to 63 lower-case letters, digits and hyphens, with no hyphen at \
         either end, found `{written}`"
    );
    findings.add(&node.location, message);
    None
}

/// Returns whether `text` is a DNS label in lower case, as names of services and processes must be.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=63).contains(&text.len())
        && text.chars().all(allowed)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

/// Returns a parser for a path; a relative path is resolved against `folder`.
pub fn file(folder: &Path) -> impl Fn(&str, &Node, &mut Findings) -> Option<PathBuf> {
    move |key, node, findings| {
        let written = text(key, node, findings)?;
        Some(folder.join(&*written))
    }
}

/// Returns a parser for one of the words in `choices`, which returns the word's value.
pub fn choice<T: Copy>(
    choices: &[(&'static str, T)],
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<T> {
    move |key, node, findings| {
        let written = text(key, node, findings)?;
        let chosen = choices.iter().find(|(word, _)| **word == *written);
        if chosen.is_none() {
            let words: Vec<_> = choices.iter().map(|(word, _)| *word).collect();
            let words = words.join(", ");
            let message = format!("`{key}` must be one of {words}, found `{written}`");
            findings.add(&node.location, message);
        }
        chosen.map(|(_, value)| *value)
    }
}
