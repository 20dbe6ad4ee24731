//! Decides whether an unplanned event explains a failure that a caller observed.

use std::{collections::BTreeMap, sync::Arc};

use super::{Change, ChangeKind, Evidence, Target};
use crate::caller::{AttemptRecord, FlowEnd, FlowRecord, RequestOutcome};

/// Time after the end of a link fault in which a failure is still attributed to it, in
/// microseconds.
const LINK_FAULT_GRACE_PERIOD_US: u64 = 8_000_000;

/// Attributes failed flows and attempts to unplanned changes of the deployment.
///
/// Indexes the evidence by the backend servers that each flow and attempt involved.
pub(super) struct FailureAttribution<'a> {
    changes: &'a [Change],
    /// Backend server of each flow, by flow ID.
    backend_by_flow: BTreeMap<&'a str, &'a Arc<str>>,
    /// Broken flows whose backend server is unknown because it gave no answer, by flow ID.
    unanswered_flows: BTreeMap<&'a str, &'a FlowRecord>,
    /// Backend servers that received each attempt, by attempt ID.
    receivers_by_attempt: BTreeMap<&'a str, Vec<&'a Arc<str>>>,
}

impl<'a> FailureAttribution<'a> {
    pub(super) fn new(evidence: &'a Evidence) -> Self {
        let mut backend_by_flow = BTreeMap::new();
        for flow in &evidence.callers.flows {
            if let Some(backend) = &flow.backend {
                backend_by_flow.insert(&*flow.id, backend);
            }
        }
        for attempt in &evidence.callers.attempts {
            if let Some(backend) = &attempt.backend {
                backend_by_flow.entry(&*attempt.flow).or_insert(backend);
            }
        }
        let unanswered = evidence
            .callers
            .flows
            .iter()
            .filter(|it| it.end == FlowEnd::Broken && !backend_by_flow.contains_key(&*it.id));
        let unanswered_flows = unanswered.map(|it| (&*it.id, it)).collect();
        let mut receivers_by_attempt: BTreeMap<&str, Vec<&Arc<str>>> = BTreeMap::new();
        for journal in &evidence.backends {
            for run in &journal.runs {
                receivers_by_attempt
                    .entry(&*run.request)
                    .or_default()
                    .push(&journal.name);
            }
        }
        Self {
            changes: &evidence.changes,
            backend_by_flow,
            unanswered_flows,
            receivers_by_attempt,
        }
    }

    /// Returns whether an unplanned event explains that `flow` broke.
    pub(super) fn explains_flow(&self, flow: &FlowRecord) -> bool {
        let recorded = flow.backend.as_ref();
        let backend = recorded.or_else(|| self.backend_by_flow.get(&*flow.id).copied());
        let end = flow.closed_us.unwrap_or(u64::MAX);
        self.explains(backend.into_iter(), end)
    }

    /// Returns whether an unplanned event explains that `attempt` had no clean end.
    pub(super) fn explains_attempt(&self, attempt: &AttemptRecord) -> bool {
        self.explains_by_backends(attempt) || self.explains_by_binding(attempt)
    }

    /// Returns whether the attempt's binding names an agent that was killed or paused before it had
    /// answered on the flow of the binding. Any other agent rightly reports an unknown outcome.
    fn explains_by_binding(&self, attempt: &AttemptRecord) -> bool {
        let flow = attempt.binding_flow.as_ref();
        let flow = flow.and_then(|it| self.unanswered_flows.get(&**it));
        attempt.reported_outcome == Some(RequestOutcome::Unknown)
            && flow.is_some_and(|it| self.agent_failed_during(it))
    }

    /// Returns whether an agent was killed or paused while `flow` was in use.
    fn agent_failed_during(&self, flow: &FlowRecord) -> bool {
        let in_use = flow.opened_us..=flow.closed_us.unwrap_or(u64::MAX);
        self.changes.iter().any(|change| {
            matches!(change.target, Target::Agent(_))
                && matches!(change.kind, ChangeKind::Kill | ChangeKind::Pause)
                && in_use.contains(&change.at_us)
        })
    }

    fn explains_by_backends(&self, attempt: &AttemptRecord) -> bool {
        let flows = [Some(&attempt.flow), attempt.binding_flow.as_ref()];
        let flow_backends = flows
            .into_iter()
            .flatten()
            .filter_map(|flow| self.backend_by_flow.get(&**flow).copied());
        let receivers = self
            .receivers_by_attempt
            .get(&*attempt.id)
            .into_iter()
            .flatten()
            .copied();
        let backends = attempt.backend.iter().chain(flow_backends).chain(receivers);
        self.explains(backends, attempt.end_us)
    }

    /// Returns whether a node was started, stopped, drained or undrained by `end_us`.
    pub(super) fn has_planned_node_change_before(&self, end_us: u64) -> bool {
        let planned = |change: &Change| change.kind.is_planned() && change.at_us <= end_us;
        let mut nodes = self
            .changes
            .iter()
            .filter(|it| it.kind != ChangeKind::Apply);
        nodes.any(planned)
    }

    /// Returns whether an unplanned change up to `end_us` explains a failure at `backends`.
    fn explains<'b>(&self, backends: impl Iterator<Item = &'b Arc<str>>, end_us: u64) -> bool {
        let backends: Vec<_> = backends.collect();
        let earlier = self.changes.iter().filter(|change| change.at_us <= end_us);
        earlier
            .filter(|change| !change.kind.is_planned())
            .any(|change| match (&change.target, change.kind) {
                // If no backend server is recorded, any that was killed or paused may be the cause.
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
                // Flows depend on no state of a single balancer or of the store.
                (Target::Balancer(_) | Target::Store, _) => false,
            })
    }
}
