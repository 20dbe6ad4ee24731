use std::time::Duration;

use arbutus_core::{
    apply::Revision,
    ident::Incarnation,
    packet::{
        BackendProcess, EarlierListing, LeaseId, ListingCall, ListingRecord, ListingReply,
        ListingStep, Registration, StoreEra,
    },
};

use rstest::rstest;

use super::fixture::{SERVICE, at, heartbeat, listing};

const INCARNATION: Incarnation = Incarnation::new(9_000);
const TTL: Duration = Duration::from_secs(6);
const LEASE: LeaseId = LeaseId::new(7);
const ERA: Option<StoreEra> = Some(StoreEra::new(3));
const NEXT_ERA: Option<StoreEra> = Some(StoreEra::new(4));
const WRITTEN: Revision = Revision::new(40);

/// Makes the agent wait 250 ms after the store came back from an older copy.
const SEED: u64 = 5_250;

fn process() -> BackendProcess {
    heartbeat(0, 1, 1_000).process()
}

fn next_process() -> BackendProcess {
    heartbeat(0, 1, 2_000).process()
}

fn call(registration: &Registration, ms: u64) -> ListingCall {
    match registration.next_step(at(ms)) {
        ListingStep::Call(call) => call,
        step => panic!("no call at {ms} ms: {step:?}"),
    }
}

/// Returns a registration whose listing was written at 0 ms.
fn listed() -> Registration {
    let mut registration = Registration::new(INCARNATION, TTL, SEED);
    assert!(registration.set_wanted(Some(process()), at(0)));
    assert_eq!(call(&registration, 0), ListingCall::Grant(TTL));
    registration.on_reply(ListingReply::Granted(LEASE, TTL), ERA, at(0));
    let write = ListingCall::Write(LEASE, Revision::ABSENT, process());
    assert_eq!(call(&registration, 0), write);
    registration.on_reply(ListingReply::Written(WRITTEN, process()), ERA, at(0));
    registration
}

#[test]
fn a_registration_that_is_not_wanted_makes_no_call() {
    let registration = Registration::new(INCARNATION, TTL, SEED);
    assert_eq!(registration.next_step(at(0)), ListingStep::Idle);
    assert!(!registration.is_unconfirmed(at(0)));
}

#[test]
fn a_lease_is_renewed_three_times_within_its_ttl() {
    let mut registration = listed();
    assert_eq!(registration.next_step(at(0)), ListingStep::Wait(at(2_000)));
    assert_eq!(call(&registration, 2_000), ListingCall::Renew(LEASE));
    registration.on_reply(ListingReply::Renewed, ERA, at(2_000));
    assert_eq!(
        registration.next_step(at(2_000)),
        ListingStep::Wait(at(4_000))
    );
}

#[test]
fn a_write_whose_answer_was_lost_is_repeated_with_the_same_condition() {
    let mut registration = Registration::new(INCARNATION, TTL, SEED);
    registration.set_wanted(Some(process()), at(0));
    registration.on_reply(ListingReply::Granted(LEASE, TTL), ERA, at(0));
    registration.on_reply(ListingReply::Failed, ERA, at(0));
    let write = ListingCall::Write(LEASE, Revision::ABSENT, process());
    assert_eq!(call(&registration, 600), write);
    // The first write has taken effect although its answer was lost.
    let found = Revision::new(5);
    registration.on_reply(ListingReply::Conflict(found, None), ERA, at(600));
    assert_eq!(
        call(&registration, 600),
        ListingCall::Write(LEASE, found, process())
    );
}

#[test]
fn an_expired_lease_is_replaced() {
    let mut registration = listed();
    registration.on_reply(ListingReply::LeaseEnded, ERA, at(2_000));
    assert!(registration.is_unconfirmed(at(2_000)));
    assert_eq!(call(&registration, 2_000), ListingCall::Grant(TTL));
}

#[test]
fn a_call_that_failed_is_repeated_after_a_pause() {
    let mut registration = listed();
    registration.on_reply(ListingReply::Failed, ERA, at(2_000));
    assert_eq!(
        registration.next_step(at(2_000)),
        ListingStep::Wait(at(2_600))
    );
    assert_eq!(call(&registration, 2_600), ListingCall::Renew(LEASE));
    assert!(!registration.is_unconfirmed(at(2_600)));
    assert!(registration.is_unconfirmed(at(2_601)));
}

#[test]
fn a_listing_that_is_no_longer_wanted_is_removed() {
    let mut registration = listed();
    assert!(registration.set_wanted(None, at(500)));
    assert!(!registration.set_wanted(None, at(500)));
    assert_eq!(call(&registration, 500), ListingCall::Remove(WRITTEN));
    registration.on_reply(ListingReply::Removed, ERA, at(510));
    assert_eq!(registration.next_step(at(510)), ListingStep::Idle);
}

#[test]
fn the_listing_of_a_successor_at_the_same_address_is_not_removed() {
    let mut registration = listed();
    registration.set_wanted(None, at(500));
    let successor = ListingReply::Conflict(Revision::new(90), None);
    registration.on_reply(successor, ERA, at(510));
    assert_eq!(registration.next_step(at(510)), ListingStep::Idle);
}

struct RestoredCase {
    /// The answer in which the new era was seen first.
    reply: ListingReply,
    /// The call that follows.
    next: ListingCall,
}

#[rstest]
#[case::a_renewal_of_a_lease_that_may_be_another_agents(RestoredCase {
    reply: ListingReply::Renewed,
    next: ListingCall::Grant(TTL),
})]
#[case::a_write_under_a_lease_that_may_be_another_agents(RestoredCase {
    reply: ListingReply::Written(WRITTEN, process()),
    next: ListingCall::Grant(TTL),
})]
#[case::a_conflict_with_a_revision_that_was_given_out_again(RestoredCase {
    reply: ListingReply::Conflict(Revision::new(12), None),
    next: ListingCall::Grant(TTL),
})]
#[case::a_lease_that_the_older_copy_does_not_have(RestoredCase {
    reply: ListingReply::LeaseEnded,
    next: ListingCall::Grant(TTL),
})]
#[case::a_rejected_call(RestoredCase {
    reply: ListingReply::Failed,
    next: ListingCall::Grant(TTL),
})]
#[case::a_lease_granted_in_the_new_era(RestoredCase {
    reply: ListingReply::Granted(LeaseId::new(8), TTL),
    next: ListingCall::Write(LeaseId::new(8), Revision::ABSENT, process()),
})]
fn an_agent_is_listed_anew_after_the_store_came_back_from_an_older_copy(
    #[case] case: RestoredCase,
) {
    let mut registration = listed();
    assert!(registration.on_reply(case.reply, NEXT_ERA, at(2_000)));
    assert!(
        registration.is_unconfirmed(at(2_000)),
        "it introduces itself"
    );
    let delayed = ListingStep::Wait(at(2_250));
    assert_eq!(registration.next_step(at(2_000)), delayed);
    assert_eq!(call(&registration, 2_250), case.next);
}

#[test]
fn answers_without_an_era_or_of_an_earlier_one_do_not_count_as_a_restored_store() {
    let mut registration = listed();
    for era in [None, Some(StoreEra::new(2)), ERA] {
        assert!(!registration.on_reply(ListingReply::Renewed, era, at(2_000)));
    }
    assert_eq!(call(&registration, 4_000), ListingCall::Renew(LEASE));
}

#[test]
fn the_calls_of_300_agents_after_a_restored_store_are_spread_over_a_second() {
    let mut calls_by_tenth = [0_u32; 10];
    for seed in 0..300 {
        let mut registration = Registration::new(INCARNATION, TTL, seed * 7_919);
        registration.set_wanted(Some(process()), at(0));
        registration.on_reply(ListingReply::Granted(LEASE, TTL), ERA, at(0));
        registration.on_reply(ListingReply::Failed, NEXT_ERA, at(1_000));
        let pause = match registration.next_step(at(1_000)) {
            ListingStep::Wait(until) => until.since(at(1_000)),
            ListingStep::Call(_) => Duration::ZERO,
            ListingStep::Idle => panic!("a listing is wanted"),
        };
        let tenth = pause.as_millis() / 100;
        calls_by_tenth[usize::try_from(tenth).expect("a small number")] += 1;
    }
    // The store allows 400 writes a second, and each agent makes two.
    assert!(
        calls_by_tenth.iter().all(|it| *it <= 40),
        "{calls_by_tenth:?}"
    );
}

#[test]
fn a_listing_is_written_again_when_the_backend_server_has_started_again() {
    let mut registration = listed();
    assert!(registration.set_wanted(Some(next_process()), at(500)));
    let write = ListingCall::Write(LEASE, WRITTEN, next_process());
    assert_eq!(call(&registration, 500), write);
    let rewritten = Revision::new(41);
    registration.on_reply(
        ListingReply::Written(rewritten, next_process()),
        ERA,
        at(510),
    );
    assert_eq!(call(&registration, 2_510), ListingCall::Renew(LEASE));
    registration.set_wanted(None, at(3_000));
    assert_eq!(call(&registration, 3_000), ListingCall::Remove(rewritten));
}

#[test]
fn a_process_that_started_while_the_listing_was_written_is_listed_at_once() {
    let mut registration = Registration::new(INCARNATION, TTL, SEED);
    registration.set_wanted(Some(process()), at(0));
    registration.on_reply(ListingReply::Granted(LEASE, TTL), ERA, at(0));
    registration.set_wanted(Some(next_process()), at(1));
    registration.on_reply(ListingReply::Written(WRITTEN, process()), ERA, at(2));
    let write = ListingCall::Write(LEASE, WRITTEN, next_process());
    assert_eq!(call(&registration, 2), write);
}

#[derive(Debug)]
struct FirstAnswer {
    reply: ListingReply,
    earlier: EarlierListing,
}

fn found(incarnation: u64, backend: Option<BackendProcess>) -> ListingReply {
    let record = ListingRecord {
        listing: listing(0, SERVICE, incarnation),
        backend,
    };
    ListingReply::Conflict(Revision::new(5), Some(record))
}

#[rstest]
#[case::nothing_was_listed(FirstAnswer {
    reply: ListingReply::Written(WRITTEN, process()),
    earlier: EarlierListing::Absent,
})]
#[case::an_earlier_process(FirstAnswer {
    reply: found(8_000, Some(process())),
    earlier: EarlierListing::Served(Some(process())),
})]
#[case::an_earlier_process_of_another_version(FirstAnswer {
    reply: found(8_000, None),
    earlier: EarlierListing::Served(None),
})]
#[case::an_unreadable_entry(FirstAnswer {
    reply: ListingReply::Conflict(Revision::new(5), None),
    earlier: EarlierListing::Served(None),
})]
#[case::its_own_write_whose_answer_was_lost(FirstAnswer {
    reply: found(9_000, Some(process())),
    earlier: EarlierListing::Absent,
})]
#[case::a_failure(FirstAnswer { reply: ListingReply::Failed, earlier: EarlierListing::Unknown })]
#[case::an_ended_lease(
    FirstAnswer { reply: ListingReply::LeaseEnded, earlier: EarlierListing::Unknown }
)]
fn the_first_answer_tells_which_backend_server_the_agent_before_served(#[case] case: FirstAnswer) {
    let mut registration = Registration::new(INCARNATION, TTL, SEED);
    registration.set_wanted(Some(process()), at(0));
    registration.on_reply(ListingReply::Granted(LEASE, TTL), ERA, at(0));
    registration.on_reply(case.reply.clone(), ERA, at(10));
    assert_eq!(*registration.earlier_listing(), case.earlier, "{case:?}");
    // What is listed from then on is this process's own.
    registration.on_reply(ListingReply::Written(WRITTEN, process()), ERA, at(700));
    let expected = match case.earlier {
        EarlierListing::Unknown => EarlierListing::Absent,
        earlier => earlier,
    };
    assert_eq!(*registration.earlier_listing(), expected);
}
