use std::path::{Path, PathBuf};

use arbutus_core::keys::{KeyRing, SystemKey};
use error_stack::Report;

use crate::{
    SettingsError,
    document::{Document, Node, Value},
    file,
    findings::{Findings, Location},
    scalar, secret,
};

/// Loads a key ring from numbered key files, as `arbutusctl keys` writes them.
///
/// # Errors
///
/// Returns an error with all findings attached: files that cannot be read, are accessible to group
/// or others or contain no key, numbers that are duplicate or too large, and a missing key for
/// `current`.
pub fn load<'a>(
    files: impl IntoIterator<Item = (u8, &'a Path)>,
    current: u8,
) -> Result<KeyRing, Report<SettingsError>> {
    let mut findings = Findings::new();
    let location = Location::whole_file("keys".into());
    let keys: Vec<_> = files
        .into_iter()
        .map(|(number, path)| Some((number, load_key(path, &location, &mut findings)?)))
        .collect();
    let ring = build_ring(keys, current, &location, &mut findings);
    findings.into_result(ring)
}

/// Parses a secret of 64 hexadecimal digits; surrounding white space is ignored.
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

/// Loads the key ring that the file `keys.jsonc` of a key set describes.
///
/// # Errors
///
/// Returns an error if the file cannot be read or has findings, which are all attached.
pub fn load_set(path: &Path) -> Result<KeyRing, Report<SettingsError>> {
    file::load(path, read_set)
}

/// Returns a parser for the `keys` of a daemon's settings: an object, or the path of a file that
/// contains one.
pub(crate) fn read_ring(
    folder: &Path,
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<KeyRing> {
    move |key, node, findings| {
        if !matches!(node.value, Value::Text(_)) {
            return read_set(folder, node, findings);
        }
        let path = scalar::file(folder)(key, node, findings)?;
        let text = secret::read(&path, &node.location, findings)?;
        let text = String::from_utf8_lossy(&text);
        let document = Document::parse(&path.display().to_string(), &text, findings)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        read_set(folder, document.root(), findings)
    }
}

fn read_set(folder: &Path, node: &Node, findings: &mut Findings) -> Option<KeyRing> {
    let set = KeyFiles::read(folder, node, findings)?;
    let load = |file: &KeyFile| {
        let key = load_key(&file.path, &file.location, findings)?;
        Some((file.number, key))
    };
    let keys = set.files.iter().map(load).collect();
    build_ring(keys, set.current, &node.location, findings)
}

/// Returns the current key number and all valid key numbers in a file like `keys.jsonc`.
pub(crate) fn parse_key_numbers(
    file: &str,
    text: &str,
) -> Result<(u8, Vec<u8>), Report<SettingsError>> {
    let mut findings = Findings::new();
    let document = Document::parse(file, text, &mut findings);
    let set = document.and_then(|it| KeyFiles::read(Path::new(""), it.root(), &mut findings));
    let set = findings.into_result(set)?;
    let valid = set.files.iter().map(|file| file.number).collect();
    Ok((set.current, valid))
}

/// The object that names the system's key files.
struct KeyFiles {
    current: u8,
    files: Vec<KeyFile>,
}

/// A numbered key file.
struct KeyFile {
    number: u8,
    path: PathBuf,
    location: Location,
}

impl KeyFiles {
    fn read(folder: &Path, node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut reader = node.reader(findings)?;
        let current = reader.required("current", key_number);
        let file =
            |_: &str, node: &Node, findings: &mut Findings| KeyFile::read(folder, node, findings);
        let files = reader.required("files", scalar::list(file));
        reader.finish();
        Some(Self {
            current: current?,
            files: files?,
        })
    }
}

impl KeyFile {
    fn read(folder: &Path, node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut reader = node.reader(findings)?;
        let number = reader.required("number", key_number);
        let path = reader.required("path", scalar::file(folder));
        let location = reader.node("path").map(|node| node.location.clone());
        reader.finish();
        Some(Self {
            number: number?,
            path: path?,
            location: location?,
        })
    }
}

fn key_number(key: &str, node: &Node, findings: &mut Findings) -> Option<u8> {
    let highest = KeyRing::MAX_KEYS as u64 - 1;
    let number = scalar::integer(0..=highest)(key, node, findings)?;
    u8::try_from(number).ok()
}

fn load_key(path: &Path, location: &Location, findings: &mut Findings) -> Option<SystemKey> {
    let bytes = secret::read_secret(path, location, findings)?;
    let parsed = std::str::from_utf8(&bytes).ok().and_then(parse_secret);
    if parsed.is_none() {
        let message = format!("`{}` must contain 64 hexadecimal digits", path.display());
        findings.add(location, message);
    }
    parsed.map(|secret| SystemKey::derive(&secret))
}

/// Builds a key ring; returns `None` if a key is missing or the ring is invalid.
fn build_ring(
    keys: Vec<Option<(u8, SystemKey)>>,
    current: u8,
    location: &Location,
    findings: &mut Findings,
) -> Option<KeyRing> {
    let keys: Option<Vec<_>> = keys.into_iter().collect();
    match KeyRing::new(keys?, current) {
        Ok(ring) => Some(ring),
        Err(error) => {
            findings.add(location, error.to_string());
            None
        }
    }
}
