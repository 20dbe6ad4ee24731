use std::hash::Hash;

use indexmap::IndexMap;

/// The part of a full table that is evicted at once, as a divisor. Removing entries from the front
/// of the table moves all others, so it is done for many insertions together.
const EVICTED_PART: usize = 16;

/// Removes and returns the oldest entries of a full table, at least one.
pub(super) fn evict_oldest<K: Hash + Eq, V>(table: &mut IndexMap<K, V>) -> Vec<V> {
    let count = (table.len() / EVICTED_PART).max(1).min(table.len());
    table.drain(..count).map(|(_, value)| value).collect()
}
