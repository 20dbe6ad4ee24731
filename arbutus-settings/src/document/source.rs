use std::sync::Arc;

use jsonc_parser::{
    CollectOptions, ParseOptions, ast,
    common::{Range, Ranged},
};

use super::{Entry, Node, Value, lines::Lines};
use crate::findings::{Findings, Location};

/// A parsed file.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    root: Node,
}

impl Document {
    /// The maximum size of a file, in bytes.
    pub const MAX_BYTES: usize = 4 * 1024 * 1024;

    /// Parses `text`, which may contain comments and trailing commas.
    ///
    /// Errors are added to `findings` under the file name `file`. A duplicate key in an object is a
    /// finding, and the key's first value is kept.
    pub fn parse(file: &str, text: &str, findings: &mut Findings) -> Option<Self> {
        let file: Arc<str> = Arc::from(file);
        if text.len() > Self::MAX_BYTES {
            let message = format!("the file is larger than {} bytes", Self::MAX_BYTES);
            findings.add(&Location::whole_file(file), message);
            return None;
        }
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let parsed =
            jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &strict_options());
        let root = match parsed {
            Ok(parsed) => parsed.value,
            Err(error) => {
                let location = Location::new(file, error.line_display(), error.column_display());
                findings.add(&location, error.kind().to_string());
                return None;
            }
        };
        let Some(root) = root else {
            findings.add(&Location::new(file, 1, 1), "the file contains no value");
            return None;
        };
        let lines = Lines::new(file, text);
        Some(Self {
            root: convert(root, &lines, findings),
        })
    }

    /// Returns the root value.
    #[must_use]
    pub const fn root(&self) -> &Node {
        &self.root
    }

    /// Consumes the document and returns its root value.
    #[must_use]
    pub fn into_root(self) -> Node {
        self.root
    }
}

/// Returns options that allow comments and trailing commas, and no other extension of JSON.
const fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn convert(value: ast::Value<'_>, lines: &Lines<'_>, findings: &mut Findings) -> Node {
    let Range { start, .. } = value.range();
    let value = match value {
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::BooleanLit(literal) => Value::Bool(literal.value),
        ast::Value::NumberLit(literal) => Value::Number(Arc::from(literal.value)),
        ast::Value::StringLit(literal) => Value::Text(Arc::from(&*literal.value)),
        ast::Value::Array(array) => {
            let elements = array.elements.into_iter();
            Value::List(elements.map(|it| convert(it, lines, findings)).collect())
        }
        ast::Value::Object(object) => Value::Object(entries(object, lines, findings)),
    };
    Node {
        location: lines.location(start),
        value,
    }
}

fn entries(object: ast::Object<'_>, lines: &Lines<'_>, findings: &mut Findings) -> Vec<Entry> {
    let mut entries = indexmap::IndexMap::<Arc<str>, Entry>::new();
    for property in object.properties {
        let location = lines.location(property.range.start);
        let key: Arc<str> = Arc::from(property.name.as_str());
        let node = convert(property.value, lines, findings);
        if let Some(first) = entries.get(&key) {
            let message = format!("duplicate key `{key}`; first defined at {}", first.location);
            findings.add(&location, message);
            continue;
        }
        let entry = Entry {
            key: key.clone(),
            location,
            node,
        };
        entries.insert(key, entry);
    }
    entries.into_values().collect()
}
