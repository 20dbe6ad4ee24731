use std::sync::Arc;

use super::Node;
use crate::findings::Location;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number as written in the file.
    Number(Arc<str>),
    /// A string.
    Text(Arc<str>),
    /// An array.
    List(Vec<Node>),
    /// An object; its entries keep their order and have distinct keys.
    Object(Vec<Entry>),
}

impl Value {
    /// Returns the kind of value, with its article, for messages.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool(_) => "a boolean",
            Self::Number(_) => "a number",
            Self::Text(_) => "a string",
            Self::List(_) => "an array",
            Self::Object(_) => "an object",
        }
    }

    /// Returns whether both values are equal, regardless of their locations.
    ///
    /// The order of an object's entries is ignored.
    #[must_use]
    pub fn eq_ignoring_location(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::List(left), Self::List(right)) => {
                let same =
                    |(left, right): (&Node, &Node)| left.value.eq_ignoring_location(&right.value);
                left.len() == right.len() && left.iter().zip(right).all(same)
            }
            (Self::Object(left), Self::Object(right)) => {
                let find = |key: &str| right.iter().find(|entry| &*entry.key == key);
                let same = |entry: &Entry| {
                    find(&entry.key)
                        .is_some_and(|it| entry.node.value.eq_ignoring_location(&it.node.value))
                };
                left.len() == right.len() && left.iter().all(same)
            }
            _ => self == other,
        }
    }
}

/// A key of an object with its value.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: Arc<str>,
    /// The location of the key.
    pub location: Location,
    /// The key's value.
    pub node: Node,
}
