//! Finds out whether a failure that a caller saw is explained by an unplanned event.

use std::{collections::BTreeMap, sync::Arc};

use super::{Change, ChangeKind, Evidence, Target};
use crate::caller::{AttemptRecord, FlowRecord};

/// How long after a fault of the links a flow may still end because of it, in microseconds.
const LINK_FAULT_GRACE_PERIOD_US: u64 = 8_000_000;

/// Looks up which backend servers a caller's records have to do with.
pub(super) struct FailureAttribution<'a> {
    changes: &'a [Change],
    flow_backend: BTreeMap<&'a str, &'a Arc<str>>,
    seen_at: BTreeMap<&'a str, Vec<&'a Arc<str>>>,
}

impl<'a> FailureAttribution<'a> {
    pub(super) fn new(evidence: &'a Evidence) -> Self {
        let mut flow_backend = BTreeMap::new();
        for flow in &evidence.callers.flows {
            if let Some(backend) = &flow.backend {
                flow_backend.insert(&*flow.id, backend);
            }
        }
        for attempt in &evidence.callers.attempts {
            if let Some(backend) = &attempt.backend {
                flow_backend.entry(&*attempt.flow).or_insert(backend);
            }
        }
        let mut seen_at: BTreeMap<&str, Vec<&Arc<str>>> = BTreeMap::new();
        for journal in &evidence.backends {
            for run in &journal.runs {
                seen_at
                    .entry(&*run.request)
                    .or_default()
                    .push(&journal.name);
            }
        }
        Self {
            changes: &evidence.changes,
            flow_backend,
            seen_at,
        }
    }

    /// Whether an unplanned event explains that `flow` broke.
    pub(super) fn explains_flow(&self, flow: &FlowRecord) -> bool {
        let known = flow.backend.as_ref();
        let backend = known.or_else(|| self.flow_backend.get(&*flow.id).copied());
        let end = flow.closed_us.unwrap_or(u64::MAX);
        self.explains(backend.into_iter(), end)
    }

    /// Whether an unplanned event explains that `attempt` had no clean end.
    pub(super) fn explains_attempt(&self, attempt: &AttemptRecord) -> bool {
        let flows = [Some(&attempt.flow), attempt.bound_by.as_ref()];
        let flow_backends = flows
            .into_iter()
            .flatten()
            .filter_map(|flow| self.flow_backend.get(&**flow).copied());
        let seen = self
            .seen_at
            .get(&*attempt.id)
            .into_iter()
            .flatten()
            .copied();
        let backends = attempt.backend.iter().chain(flow_backends).chain(seen);
        self.explains(backends, attempt.end_us)
    }

    /// Whether nodes were started, stopped or drained before `end_us`.
    pub(super) fn has_planned_node_change_before(&self, end_us: u64) -> bool {
        let planned = |change: &Change| change.kind.is_planned() && change.at_us <= end_us;
        let mut nodes = self
            .changes
            .iter()
            .filter(|it| it.kind != ChangeKind::Apply);
        nodes.any(planned)
    }

    fn explains<'b>(&self, backends: impl Iterator<Item = &'b Arc<str>>, end_us: u64) -> bool {
        let backends: Vec<_> = backends.collect();
        let earlier = self.changes.iter().filter(|change| change.at_us <= end_us);
        earlier
            .filter(|change| !change.kind.is_planned())
            .any(|change| match (&change.target, change.kind) {
                // Where no backend server is known, any lost one may be the reason.
                (Target::Agent(name), ChangeKind::Kill | ChangeKind::Pause) => {
                    backends.is_empty() || backends.contains(&name)
                }
                (Target::Agent(name), _) => backends.contains(&name),
                (Target::Links, _) => {
                    end_us
                        <= change
                            .until_us
                            .unwrap_or(u64::MAX)
                            .saturating_add(LINK_FAULT_GRACE_PERIOD_US)
                }
                // Neither a balancer nor the store holds anything that a flow needs.
                (Target::Balancer(_) | Target::Store, _) => false,
            })
    }
}
