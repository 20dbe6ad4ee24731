use std::time::Duration;

use arbutus_core::{
    apply::Revision,
    packet::{LeaseId, ListingCall, ListingReply, ListingStep, Registration},
};

use super::fixture::at;

const TTL: Duration = Duration::from_secs(6);
const LEASE: LeaseId = LeaseId::new(7);

fn call(registration: &Registration, ms: u64) -> ListingCall {
    match registration.next_step(at(ms)) {
        ListingStep::Call(call) => call,
        step => panic!("no call at {ms} ms: {step:?}"),
    }
}

/// Returns a registration whose listing was written at 0 ms.
fn listed() -> Registration {
    let mut registration = Registration::new(TTL);
    assert!(registration.set_wanted(true, at(0)));
    assert_eq!(call(&registration, 0), ListingCall::Grant(TTL));
    registration.on_reply(ListingReply::Granted(LEASE, TTL), at(0));
    let write = ListingCall::Write(LEASE, Revision::ABSENT);
    assert_eq!(call(&registration, 0), write);
    registration.on_reply(ListingReply::Written, at(0));
    registration
}

#[test]
fn a_registration_that_is_not_wanted_makes_no_call() {
    let registration = Registration::new(TTL);
    assert_eq!(registration.next_step(at(0)), ListingStep::Idle);
    assert!(!registration.is_unconfirmed(at(0)));
}

#[test]
fn a_lease_is_renewed_three_times_within_its_ttl() {
    let mut registration = listed();
    assert_eq!(registration.next_step(at(0)), ListingStep::Wait(at(2_000)));
    assert_eq!(call(&registration, 2_000), ListingCall::Renew(LEASE));
    registration.on_reply(ListingReply::Renewed, at(2_000));
    assert_eq!(
        registration.next_step(at(2_000)),
        ListingStep::Wait(at(4_000))
    );
}

#[test]
fn a_write_whose_answer_was_lost_is_repeated_with_the_same_condition() {
    let mut registration = Registration::new(TTL);
    registration.set_wanted(true, at(0));
    registration.on_reply(ListingReply::Granted(LEASE, TTL), at(0));
    registration.on_reply(ListingReply::Failed, at(0));
    let write = ListingCall::Write(LEASE, Revision::ABSENT);
    assert_eq!(call(&registration, 600), write);
    // The first write has taken effect although its answer was lost.
    let found = Revision::new(5);
    registration.on_reply(ListingReply::Conflict(found), at(600));
    assert_eq!(call(&registration, 600), ListingCall::Write(LEASE, found));
}

#[test]
fn an_expired_lease_is_replaced() {
    let mut registration = listed();
    registration.on_reply(ListingReply::LeaseEnded, at(2_000));
    assert!(registration.is_unconfirmed(at(2_000)));
    assert_eq!(call(&registration, 2_000), ListingCall::Grant(TTL));
}

#[test]
fn a_call_that_failed_is_repeated_after_a_pause() {
    let mut registration = listed();
    registration.on_reply(ListingReply::Failed, at(2_000));
    assert_eq!(
        registration.next_step(at(2_000)),
        ListingStep::Wait(at(2_600))
    );
    assert_eq!(call(&registration, 2_600), ListingCall::Renew(LEASE));
    assert!(!registration.is_unconfirmed(at(2_600)));
    assert!(registration.is_unconfirmed(at(2_601)));
}

#[test]
fn a_listing_that_is_no_longer_wanted_is_released() {
    let mut registration = listed();
    assert!(registration.set_wanted(false, at(500)));
    assert!(!registration.set_wanted(false, at(500)));
    assert_eq!(call(&registration, 500), ListingCall::Release(LEASE));
    registration.on_reply(ListingReply::Released, at(510));
    assert_eq!(registration.next_step(at(510)), ListingStep::Idle);
}
