use std::path::Path;

use arbutus_core::keys::{KeyRing, SystemKey};
use error_stack::Report;

use crate::{
    SettingsError,
    document::Node,
    findings::{Findings, Place},
    scalar, secret,
};

/// Loads a ring of keys from numbered files, as `arbutusctl keys` writes them.
///
/// # Errors
///
/// Fails with all findings attached: files that cannot be read, are open to group or others or
/// hold no key, numbers that stand twice or are too large, and no key for `current`.
pub fn load<'a>(
    files: impl IntoIterator<Item = (u8, &'a Path)>,
    current: u8,
) -> Result<KeyRing, Report<SettingsError>> {
    let mut findings = Findings::new();
    let place = Place::whole("keys".into());
    let keys: Vec<_> = files
        .into_iter()
        .map(|(number, path)| Some((number, load_key(path, &place, &mut findings)?)))
        .collect();
    let ring = ring(keys, current, &place, &mut findings);
    findings.into_result(ring)
}

/// Parses a secret: 64 hexadecimal digits, white space around them allowed.
#[must_use]
pub fn parse_secret(text: &str) -> Option<[u8; SystemKey::SECRET_BYTES]> {
    let text = text.trim();
    if text.len() != 2 * SystemKey::SECRET_BYTES || !text.is_ascii() {
        return None;
    }
    let mut secret = [0; SystemKey::SECRET_BYTES];
    for (index, byte) in secret.iter_mut().enumerate() {
        let digits = text.get(2 * index..2 * index + 2)?;
        if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(secret)
}

/// Reads the `keys` object of a daemon's settings.
pub(crate) fn read_ring(
    folder: &Path,
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<KeyRing> {
    move |_key, node, findings| {
        let mut reader = node.reader(findings)?;
        let current = reader.required("current", key_number);
        let keys = reader.required("files", |key, node, findings| {
            let nodes = scalar::list(|_key, node, _findings| Some(node.clone()));
            let nodes = nodes(key, node, findings)?;
            let read = |node: &Node| read_key(folder, node, findings);
            Some(nodes.iter().map(read).collect::<Vec<_>>())
        });
        reader.finish();
        ring(keys?, current?, &node.place, findings)
    }
}

fn read_key(folder: &Path, node: &Node, findings: &mut Findings) -> Option<(u8, SystemKey)> {
    let mut reader = node.reader(findings)?;
    let number = reader.required("number", key_number);
    let key = reader.required("path", |key, node, findings| {
        let path = scalar::file(folder)(key, node, findings)?;
        load_key(&path, &node.place, findings)
    });
    reader.finish();
    Some((number?, key?))
}

fn key_number(key: &str, node: &Node, findings: &mut Findings) -> Option<u8> {
    let highest = KeyRing::SLOTS as u64 - 1;
    let number = scalar::integer(0..=highest)(key, node, findings)?;
    u8::try_from(number).ok()
}

fn load_key(path: &Path, place: &Place, findings: &mut Findings) -> Option<SystemKey> {
    let bytes = secret::read_secret(path, place, findings)?;
    let parsed = std::str::from_utf8(&bytes).ok().and_then(parse_secret);
    if parsed.is_none() {
        let message = format!("`{}` must hold 64 hexadecimal digits", path.display());
        findings.add(place, message);
    }
    parsed.map(|secret| SystemKey::derive(&secret))
}

fn ring(
    keys: Vec<Option<(u8, SystemKey)>>,
    current: u8,
    place: &Place,
    findings: &mut Findings,
) -> Option<KeyRing> {
    let keys: Option<Vec<_>> = keys.into_iter().collect();
    match KeyRing::new(keys?, current) {
        Ok(ring) => Some(ring),
        Err(error) => {
            findings.add(place, error.to_string());
            None
        }
    }
}
