//! Merging of two copies of a record.

use std::time::Duration;

use arbutus_core::{
    ident::{Incarnation, ServiceTag},
    roster::{AgentRecord, AgentState, MergeOutcome, Roster, Update},
    time::Timestamp,
};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(10_000_000);

fn record(service: &str, incarnation: u64, version: u32, state: AgentState) -> AgentRecord {
    AgentRecord {
        tunnel: "10.0.0.9:7001".parse().expect("an address"),
        control: "10.0.0.9:7000".parse().expect("an address"),
        admin_port: 7_002,
        name: format!("{service}-1").into(),
        failure_domain: "a".into(),
        tag: ServiceTag::of_name(service),
        incarnation: Incarnation::new(incarnation),
        version,
        state,
        weight_percent: 100,
    }
}

fn full(record: AgentRecord, age_s: u16) -> Update {
    Update::Agent { record, age_s }
}

fn rank_only(record: &AgentRecord) -> Update {
    Update::AgentRank {
        tunnel: record.tunnel,
        rank: record.rank(),
        weight_percent: 50,
        age_s: 0,
    }
}

struct Case {
    update: Update,
    merge: MergeOutcome,
    /// The expected candidates of the services lookup and tables after the merge.
    candidates: [usize; 2],
}

/// Each update is merged into a roster with a ready agent of the service lookup at incarnation 5,
/// version 2.
#[rstest]
#[case::an_identical_record(Case {
    update: full(record("lookup", 5, 2, AgentState::Ready), 0),
    merge: MergeOutcome::Unchanged,
    candidates: [1, 0],
})]
#[case::an_older_version(Case {
    update: full(record("lookup", 5, 1, AgentState::Gone), 0),
    merge: MergeOutcome::Stale,
    candidates: [1, 0],
})]
#[case::an_older_incarnation(Case {
    update: full(record("tables", 4, 9, AgentState::Ready), 0),
    merge: MergeOutcome::Stale,
    candidates: [1, 0],
})]
#[case::a_suspicion(Case {
    update: rank_only(&record("lookup", 5, 2, AgentState::Suspect)),
    merge: MergeOutcome::Changed,
    candidates: [0, 0],
})]
#[case::a_later_version(Case {
    update: rank_only(&record("lookup", 5, 3, AgentState::Ready)),
    merge: MergeOutcome::Changed,
    candidates: [1, 0],
})]
#[case::a_rank_of_an_unknown_incarnation(Case {
    update: rank_only(&record("lookup", 6, 1, AgentState::Gone)),
    merge: MergeOutcome::Ignored,
    candidates: [1, 0],
})]
#[case::another_service_at_the_address(Case {
    update: full(record("tables", 6, 1, AgentState::Ready), 0),
    merge: MergeOutcome::Changed,
    candidates: [0, 1],
})]
#[case::another_service_with_the_same_incarnation(Case {
    update: full(record("tables", 5, 3, AgentState::Ready), 0),
    merge: MergeOutcome::Conflict,
    candidates: [1, 0],
})]
fn a_merge_has_the_expected_outcome(#[case] case: Case) {
    let mut roster = Roster::new();
    roster.merge(full(record("lookup", 5, 2, AgentState::Ready), 0), START);
    assert_eq!(roster.merge(case.update, START), case.merge);
    let candidates = ["lookup", "tables"].map(|service| {
        let tag = ServiceTag::of_name(service);
        roster.candidates(tag).filter(|it| it.tag == tag).count()
    });
    assert_eq!(candidates, case.candidates);
}

#[test]
fn a_rank_update_yields_the_digest_of_the_full_record() {
    let later = record("lookup", 5, 3, AgentState::Draining);
    let (mut own, mut other) = (Roster::new(), Roster::new());
    for roster in [&mut own, &mut other] {
        roster.merge(full(record("lookup", 5, 2, AgentState::Ready), 0), START);
    }
    own.merge(rank_only(&later), START);
    other.merge(full(later, 0), START);
    assert_eq!(own.root_digest(), other.root_digest());
    assert_eq!(own.agents().map(|it| it.weight_percent).max(), Some(50));
}

#[test]
fn an_expired_record_of_a_dead_agent_is_not_accepted_again() {
    let dead = record("lookup", 5, 2, AgentState::Gone);
    let mut roster = Roster::new();
    roster.merge(full(dead.clone(), 0), START);
    let later = START + Roster::TOMBSTONE_TTL + Duration::from_secs(1);
    roster.expire(later);
    assert_eq!(roster.agent_count(), 0);
    assert_eq!(roster.root_digest(), Roster::new().root_digest());
    // Another node that still holds the record sends it with its age.
    let age_s = u16::try_from(Roster::TOMBSTONE_TTL.as_secs()).expect("the age fits");
    assert_eq!(
        roster.merge(full(dead, age_s), later),
        MergeOutcome::Ignored
    );
}
