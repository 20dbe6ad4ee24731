use crate::{
    document::{Node, Value},
    findings::Findings,
};

/// Returns a parser for an array whose elements `parse` reads.
///
/// Every invalid element is a finding.
pub fn list<T>(
    parse: impl Fn(&str, &Node, &mut Findings) -> Option<T>,
) -> impl FnOnce(&str, &Node, &mut Findings) -> Option<Vec<T>> {
    move |key, node, findings| {
        let Value::List(nodes) = &node.value else {
            let message = format!("`{key}` must be an array, found {}", node.value.kind());
            findings.add(&node.location, message);
            return None;
        };
        let parsed: Vec<Option<T>> = nodes
            .iter()
            .map(|node| parse(key, node, findings))
            .collect();
        parsed.into_iter().collect()
    }
}
