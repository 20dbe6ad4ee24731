//! Which of two copies of a record stays.

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

fn whole(record: AgentRecord, age_s: u16) -> Update {
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
    /// Candidates of the services lookup and tables afterwards.
    candidates: [usize; 2],
}

/// Each case meets a ready agent of the service lookup, incarnation 5, version 2.
#[rstest]
#[case::the_same(Case {
    update: whole(record("lookup", 5, 2, AgentState::Ready), 0),
    merge: MergeOutcome::Unchanged,
    candidates: [1, 0],
})]
#[case::an_older_version(Case {
    update: whole(record("lookup", 5, 1, AgentState::Gone), 0),
    merge: MergeOutcome::Stale,
    candidates: [1, 0],
})]
#[case::an_older_incarnation(Case {
    update: whole(record("tables", 4, 9, AgentState::Ready), 0),
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
    update: whole(record("tables", 6, 1, AgentState::Ready), 0),
    merge: MergeOutcome::Changed,
    candidates: [0, 1],
})]
#[case::another_service_under_the_same_incarnation(Case {
    update: whole(record("tables", 5, 3, AgentState::Ready), 0),
    merge: MergeOutcome::Conflict,
    candidates: [1, 0],
})]
fn a_record_meets_another(#[case] case: Case) {
    let mut roster = Roster::new();
    roster.merge(whole(record("lookup", 5, 2, AgentState::Ready), 0), START);
    assert_eq!(roster.merge(case.update, START), case.merge);
    let candidates = ["lookup", "tables"].map(|service| {
        let tag = ServiceTag::of_name(service);
        roster.candidates(tag).filter(|it| it.tag == tag).count()
    });
    assert_eq!(candidates, case.candidates);
}

#[test]
fn a_rank_alone_gives_the_digests_of_the_whole_record() {
    let later = record("lookup", 5, 3, AgentState::Draining);
    let (mut own, mut other) = (Roster::new(), Roster::new());
    for roster in [&mut own, &mut other] {
        roster.merge(whole(record("lookup", 5, 2, AgentState::Ready), 0), START);
    }
    own.merge(rank_only(&later), START);
    other.merge(whole(later, 0), START);
    assert_eq!(own.root_digest(), other.root_digest());
    assert_eq!(own.agents().map(|it| it.weight_percent).max(), Some(50));
}

#[test]
fn a_record_of_a_dead_agent_expires_once_for_all() {
    let dead = record("lookup", 5, 2, AgentState::Gone);
    let mut roster = Roster::new();
    roster.merge(whole(dead.clone(), 0), START);
    let later = START + Roster::TOMBSTONE_TTL + Duration::from_secs(1);
    roster.expire(later);
    assert_eq!(roster.agent_count(), 0);
    assert_eq!(roster.root_digest(), Roster::new().root_digest());
    // Another node that has not dropped it yet tells its age.
    let age_s = u16::try_from(Roster::TOMBSTONE_TTL.as_secs()).expect("it fits");
    assert_eq!(
        roster.merge(whole(dead, age_s), later),
        MergeOutcome::Ignored
    );
}
