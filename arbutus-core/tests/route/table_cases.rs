use std::sync::Arc;

use arbutus_core::{
    config::{BackendOverride, DesiredState, Service},
    ident::ServiceTag,
    roster::AgentState,
    route::{RouteTable, ServiceRoute},
};
use rstest::rstest;

use super::fixture::{address, record, snapshot, tunnel};

/// One agent as it says of itself and as the operator wants it.
struct Case {
    state: AgentState,
    claimed: u32,
    wanted: DesiredState,
    share: Option<u32>,
    weight: Option<u32>,
}

const READY: Case = Case {
    state: AgentState::Ready,
    claimed: 100,
    wanted: DesiredState::Join,
    share: None,
    weight: Some(100),
};

#[rstest]
#[case::ready(READY)]
#[case::draining(Case { state: AgentState::Draining, weight: None, ..READY })]
#[case::suspect(Case { state: AgentState::Suspect, weight: None, ..READY })]
#[case::gone(Case { state: AgentState::Gone, weight: None, ..READY })]
#[case::operator_drains(Case { wanted: DesiredState::Drain, weight: None, ..READY })]
#[case::operator_takes_out(Case { wanted: DesiredState::Leave, weight: None, ..READY })]
#[case::half_share(Case { share: Some(50), weight: Some(50), ..READY })]
#[case::shares_multiply(Case { claimed: 50, share: Some(50), weight: Some(25), ..READY })]
#[case::no_share(Case { share: Some(0), weight: None, ..READY })]
fn an_agent_takes_flows_only_where_all_agree(#[case] case: Case) {
    let mut service = Service::new("lookup", address("lookup"));
    let wanted = BackendOverride {
        state: case.wanted,
        weight_percent: case.share,
    };
    service
        .backend_servers
        .insert(Arc::from("lookup-0"), wanted);
    let mut agent = record("lookup", 0);
    agent.state = case.state;
    agent.weight_percent = case.claimed;
    let route = ServiceRoute::build(&service, [&agent, &record("tables", 1)]);
    let weights: Vec<_> = route.agents().iter().map(|it| it.weight_percent).collect();
    assert_eq!(weights, Vec::from_iter(case.weight));
}

#[test]
fn a_changed_service_leaves_the_others_shared() {
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
        let route = table.get(address("lookup")).expect("the service is known");
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
