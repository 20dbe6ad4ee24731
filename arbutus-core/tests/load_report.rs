//! The contents of an agent's load reports.

use std::net::SocketAddrV4;

use arbutus_core::{
    flow::{Action, Event, FlowAdmission, FlowLimits, FlowPolicy, LoadReport},
    ident::{Incarnation, ServiceTag},
    roster::{AgentRecord, AgentState},
    time::Timestamp,
};

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, host].into(), 4_000)
}

fn peer(tag: ServiceTag) -> AgentRecord {
    AgentRecord {
        tunnel: address(2),
        control: address(2),
        admin_port: 1,
        name: "lookup-2".into(),
        failure_domain: "mvd-a".into(),
        tag,
        incarnation: Incarnation::new(1),
        version: 1,
        state: AgentState::Ready,
        weight_percent: 100,
    }
}

fn last_report(actions: &[Action]) -> Option<LoadReport> {
    let mut reports = actions.iter().filter_map(|action| match action {
        Action::Report { report, .. } => Some(*report),
        Action::Close(_) | Action::Drained => None,
    });
    reports.next_back()
}

#[test]
fn a_change_of_free_slots_is_reported() {
    let tag = ServiceTag::of_name("lookup");
    let start = Timestamp::from_millis(1_000);
    let mut admission = FlowAdmission::new(
        address(1),
        tag,
        Incarnation::new(1),
        FlowLimits::new().slots(5),
        FlowPolicy::new(),
        start,
    );
    admission.handle(Event::Peers(vec![peer(tag)]), start);
    let first = admission.handle(Event::Tick, Timestamp::from_millis(2_000));
    assert_eq!(last_report(&first).map(|report| report.free_slots), Some(5));
    let later = Timestamp::from_millis(2_300);
    let next = admission.handle(Event::FreeSlots(0), later);
    assert_eq!(last_report(&next).map(|report| report.free_slots), Some(0));
}
