use indexmap::IndexMap;

use crate::{
    document::{Document, Entry, Node, Value},
    findings::Findings,
    scalar,
};

/// The key by which a file replaces values of earlier ones.
const OVERRIDE: &str = "override";

/// Merges the files, which stand in the order of their names, into one value.
pub(super) fn merge(documents: Vec<Document>, findings: &mut Findings) -> Option<Node> {
    let mut merged: Option<Node> = None;
    for document in documents {
        let mut root = document.into_root();
        let overrides = take_override(&mut root, findings);
        merged = Some(match merged {
            None => root,
            Some(earlier) => merge_nodes(earlier, root, overrides, findings),
        });
    }
    merged
}

fn take_override(root: &mut Node, findings: &mut Findings) -> bool {
    let Value::Object(entries) = &mut root.value else {
        return false;
    };
    let position = entries.iter().position(|entry| &*entry.key == OVERRIDE);
    let entry = position.map(|position| entries.remove(position));
    let value = entry.and_then(|entry| scalar::boolean(OVERRIDE, &entry.node, findings));
    value.unwrap_or(false)
}

fn merge_nodes(earlier: Node, later: Node, overrides: bool, findings: &mut Findings) -> Node {
    match (earlier.value, later.value) {
        (Value::Object(first), Value::Object(second)) => Node {
            place: earlier.place,
            value: Value::Object(merge_entries(first, second, overrides, findings)),
        },
        (_, value) if overrides => Node {
            place: later.place,
            value,
        },
        (first, second) => {
            if !first.says_the_same_as(&second) {
                let message = format!(
                    "set differently at {}; a later file replaces values only with \
                     `\"override\": true`",
                    earlier.place
                );
                findings.add(&later.place, message);
            }
            Node {
                place: earlier.place,
                value: first,
            }
        }
    }
}

fn merge_entries(
    earlier: Vec<Entry>,
    later: Vec<Entry>,
    overrides: bool,
    findings: &mut Findings,
) -> Vec<Entry> {
    let keyed = earlier.into_iter().map(|entry| (entry.key.clone(), entry));
    let mut merged: IndexMap<_, _> = keyed.collect();
    for entry in later {
        let entry = match merged.get(&entry.key) {
            None => entry,
            Some(known) => Entry {
                key: known.key.clone(),
                place: known.place.clone(),
                node: merge_nodes(known.node.clone(), entry.node, overrides, findings),
            },
        };
        merged.insert(entry.key.clone(), entry);
    }
    merged.into_values().collect()
}
