use indexmap::IndexMap;

use super::{FlowId, eviction, tracked_flow::TrackedFlow};

/// The flows that an agent tracks, oldest first, with the number of their requests in flight.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: IndexMap<FlowId, TrackedFlow>,
    /// The number of `flows` with a request in flight.
    in_flight: u32,
}

impl FlowTable {
    pub(super) fn get(&self, flow: &FlowId) -> Option<&TrackedFlow> {
        self.flows.get(flow)
    }

    pub(super) fn contains(&self, flow: &FlowId) -> bool {
        self.flows.contains_key(flow)
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &TrackedFlow> {
        self.flows.values()
    }

    /// Returns the number of flows with a request in flight.
    pub(super) const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Adds a flow, or replaces its entry.
    pub(super) fn insert(&mut self, flow: FlowId, tracked: TrackedFlow) {
        let before = self.flows.insert(flow, tracked);
        self.count(before.as_ref(), Some(&tracked));
    }

    /// Changes the entry of a flow by `change`, and returns its result if the flow is tracked.
    pub(super) fn update<T>(
        &mut self,
        flow: &FlowId,
        change: impl FnOnce(&mut TrackedFlow) -> T,
    ) -> Option<T> {
        let tracked = self.flows.get_mut(flow)?;
        let before = *tracked;
        let result = change(tracked);
        let after = *tracked;
        self.count(Some(&before), Some(&after));
        Some(result)
    }

    pub(super) fn remove(&mut self, flow: &FlowId) -> Option<TrackedFlow> {
        let removed = self.flows.swap_remove(flow);
        self.count(removed.as_ref(), None);
        removed
    }

    /// Removes the oldest flows.
    pub(super) fn evict(&mut self) {
        for tracked in eviction::evict_oldest(&mut self.flows) {
            self.count(Some(&tracked), None);
        }
    }

    /// Removes and returns the flows for which `is_removed` holds.
    pub(super) fn take(
        &mut self,
        is_removed: impl Fn(&TrackedFlow) -> bool,
    ) -> IndexMap<FlowId, TrackedFlow> {
        let flows = std::mem::take(&mut self.flows);
        let (removed, kept): (IndexMap<_, _>, _) = flows
            .into_iter()
            .partition(|(_, tracked)| is_removed(tracked));
        self.flows = kept;
        for tracked in removed.values() {
            self.count(Some(tracked), None);
        }
        removed
    }

    /// Removes the flows for which `is_expired` holds.
    pub(super) fn expire(&mut self, is_expired: impl Fn(&TrackedFlow) -> bool) {
        let mut ended = 0;
        self.flows.retain(|_, tracked| {
            let expired = is_expired(tracked);
            ended += u32::from(expired && tracked.has_request_in_flight());
            !expired
        });
        self.in_flight -= ended;
    }

    fn count(&mut self, before: Option<&TrackedFlow>, after: Option<&TrackedFlow>) {
        let in_flight = |it: &TrackedFlow| it.has_request_in_flight();
        self.in_flight += u32::from(after.is_some_and(in_flight));
        self.in_flight -= u32::from(before.is_some_and(in_flight));
    }
}
