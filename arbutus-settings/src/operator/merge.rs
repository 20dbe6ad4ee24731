use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    document::{Document, Entry, Node, Value},
    findings::{Findings, Location},
    scalar,
};

/// The key that lets a file replace the values of earlier files.
const OVERRIDE: &str = "override";

/// The value of one file at the location that is merged.
struct Layer {
    node: Node,
    /// Whether the value replaces those of earlier files.
    overrides: bool,
}

/// The values of all files under one key.
struct KeyLayers {
    /// The first location of the key.
    location: Location,
    layers: Vec<Layer>,
}

/// Merges the files, which must be in the order of their names, into one value.
pub(super) fn merge(documents: Vec<Document>, findings: &mut Findings) -> Option<Node> {
    let layer = |document: Document| {
        let mut node = document.into_root();
        let overrides = take_override(&mut node, findings);
        Layer { node, overrides }
    };
    let layers: Vec<_> = documents.into_iter().map(layer).collect();
    merge_layers(layers, findings)
}

/// Removes the key `override` from the root of a file and returns its value.
fn take_override(root: &mut Node, findings: &mut Findings) -> bool {
    let Value::Object(entries) = &mut root.value else {
        return false;
    };
    let position = entries.iter().position(|entry| &*entry.key == OVERRIDE);
    let entry = position.map(|position| entries.remove(position));
    let value = entry.and_then(|entry| scalar::boolean(OVERRIDE, &entry.node, findings));
    value.unwrap_or(false)
}

/// Merges the values of several files at one location; objects are merged key by key.
fn merge_layers(layers: Vec<Layer>, findings: &mut Findings) -> Option<Node> {
    let mut valid: Vec<Layer> = Vec::new();
    for layer in layers {
        let Some(first) = valid.first() else {
            valid.push(layer);
            continue;
        };
        if is_object(&first.node) && is_object(&layer.node) {
            valid.push(layer);
        } else if layer.overrides {
            valid = vec![layer];
        } else if !first.node.value.eq_ignoring_location(&layer.node.value) {
            let message = format!(
                "set differently at {}; a later file replaces values only with \
                 `\"override\": true`",
                first.node.location
            );
            findings.add(&layer.node.location, message);
        }
    }
    if valid.len() < 2 {
        return valid.pop().map(|layer| layer.node);
    }
    Some(merge_objects(valid, findings))
}

const fn is_object(node: &Node) -> bool {
    matches!(node.value, Value::Object(_))
}

fn merge_objects(layers: Vec<Layer>, findings: &mut Findings) -> Node {
    let location = layers[0].node.location.clone();
    let mut groups = IndexMap::<Arc<str>, KeyLayers>::new();
    for layer in layers {
        let Value::Object(entries) = layer.node.value else {
            continue;
        };
        for entry in entries {
            let group = groups.entry(entry.key).or_insert_with(|| KeyLayers {
                location: entry.location,
                layers: Vec::new(),
            });
            group.layers.push(Layer {
                node: entry.node,
                overrides: layer.overrides,
            });
        }
    }
    let merged = groups.into_iter().filter_map(|(key, group)| {
        let node = merge_layers(group.layers, findings)?;
        let location = group.location;
        Some(Entry {
            key,
            location,
            node,
        })
    });
    let entries = merged.collect();
    Node {
        location,
        value: Value::Object(entries),
    }
}
