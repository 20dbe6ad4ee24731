use std::sync::Arc;

use arbutus_core::{
    config::{BackendOverride, DesiredState, Service},
    ident::ServiceTag,
    roster::AgentState,
    route::{RouteTable, ServiceRoute},
};
use rstest::rstest;

use super::fixture::{address, record, snapshot, tunnel};

/// The record of an agent and the operator's settings for it.
struct Case {
    state: AgentState,
    record_weight: u32,
    desired: DesiredState,
    operator_weight: Option<u32>,
    /// Expected weight, or `None` if the agent must not accept new flows.
    expected: Option<u32>,
}

const READY: Case = Case {
    state: AgentState::Ready,
    record_weight: 100,
    desired: DesiredState::Join,
    operator_weight: None,
    expected: Some(100),
};

#[rstest]
#[case::ready(READY)]
#[case::draining(Case { state: AgentState::Draining, expected: None, ..READY })]
#[case::suspect(Case { state: AgentState::Suspect, expected: None, ..READY })]
#[case::gone(Case { state: AgentState::Gone, expected: None, ..READY })]
#[case::operator_drains(Case { desired: DesiredState::Drain, expected: None, ..READY })]
#[case::operator_removes(Case { desired: DesiredState::Leave, expected: None, ..READY })]
#[case::half_weight(Case { operator_weight: Some(50), expected: Some(50), ..READY })]
#[case::weights_multiply(Case {
    record_weight: 50,
    operator_weight: Some(50),
    expected: Some(25),
    ..READY
})]
#[case::zero_weight(Case { operator_weight: Some(0), expected: None, ..READY })]
fn route_combines_the_record_and_the_operator_settings(#[case] case: Case) {
    let mut service = Service::new("lookup", address("lookup"));
    let operator_override = BackendOverride {
        state: case.desired,
        weight_percent: case.operator_weight,
    };
    service
        .backend_servers
        .insert(Arc::from("lookup-0"), operator_override);
    let mut agent = record("lookup", 0);
    agent.state = case.state;
    agent.weight_percent = case.record_weight;
    let route = ServiceRoute::build(&service, [&agent, &record("tables", 1)]);
    let weights: Vec<_> = route.agents().iter().map(|it| it.weight_percent).collect();
    assert_eq!(weights, Vec::from_iter(case.expected));
}

#[test]
fn tables_share_unchanged_services() {
    let records = [record("lookup", 0), record("tables", 1)];
    let table = RouteTable::build(&snapshot(), &records);
    let service = Service::new("lookup", address("lookup"));
    let changed = ServiceRoute::build(&service, [&record("lookup", 0), &record("lookup", 2)]);
    let next = table.with_routes([changed]);

    let shared: Vec<_> = table
        .iter()
        .zip(next.iter())
        .map(|(old, new)| Arc::ptr_eq(old, new))
        .collect();
    assert_eq!(shared, [false, true]);
    let tunnels = |table: &RouteTable| {
        let route = table
            .get(address("lookup"))
            .expect("the service is in the table");
        let agents = route.agents().iter();
        agents.map(|it| it.tunnel).collect::<Vec<_>>()
    };
    assert_eq!(tunnels(&table), [tunnel(0)]);
    assert_eq!(tunnels(&next), [tunnel(0), tunnel(2)]);
}

#[test]
fn agents_of_another_service_are_never_candidates() {
    let records = [record("lookup", 0), record("tables", 1)];
    let table = RouteTable::build(&snapshot(), &records);
    for route in table.iter() {
        let own = if route.tag() == ServiceTag::of_name("lookup") {
            tunnel(0)
        } else {
            tunnel(1)
        };
        for flow in 0..100 {
            assert_eq!(route.candidates(flow).as_slice(), [own]);
        }
    }
}
