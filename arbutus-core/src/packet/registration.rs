use std::time::Duration;

use crate::{apply::Revision, time::Timestamp};

/// The identifier of a lease that the store granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(u64);

impl LeaseId {
    /// Creates an identifier from the store's number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the store's number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A call to the store that maintains an agent's listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingCall {
    /// Request a lease with this TTL.
    Grant(Duration),
    /// Write the listing under the lease, on condition that its key has this revision.
    Write(LeaseId, Revision),
    /// Renew the lease.
    Renew(LeaseId),
    /// Release the lease and thereby remove the listing.
    Release(LeaseId),
}

/// The result of a [`ListingCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingReply {
    /// The lease was granted, with this TTL.
    Granted(LeaseId, Duration),
    /// The listing was written.
    Written,
    /// The listing was not written, because the key has this other revision.
    Conflict(Revision),
    /// The lease was renewed.
    Renewed,
    /// The lease has expired or does not exist.
    LeaseEnded,
    /// The lease was released.
    Released,
    /// The store did not answer, or the answer is inconclusive.
    Failed,
}

/// The next step to maintain a listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingStep {
    /// Make this call.
    Call(ListingCall),
    /// Wait until this time.
    Wait(Timestamp),
    /// Wait until the listing is wanted.
    Idle,
}

/// The state machine that keeps an agent listed in the store under a lease.
///
/// A write whose answer was lost may still take effect later. The condition on the revision
/// prevents it from overwriting a later write. A late grant has no effect either, because no
/// listing is written under a lease whose grant was lost.
#[derive(Debug)]
pub struct Registration {
    ttl: Duration,
    wanted: bool,
    lease: Option<LeaseId>,
    /// The revision that the next write expects the key to have.
    expected_revision: Revision,
    /// Whether the listing has been written under `lease`.
    written: bool,
    /// The time of the last write or renewal that the store confirmed.
    confirmed_at: Option<Timestamp>,
    next_call_at: Timestamp,
}

impl Registration {
    /// The number of renewals within the TTL of a lease.
    const RENEWALS_PER_TTL: u32 = 3;

    /// The pause before the next call after one that failed.
    const RETRY_INTERVAL: Duration = Duration::from_millis(600);

    /// Creates a registration that is not wanted yet and uses leases with `ttl`.
    #[must_use]
    pub const fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            wanted: false,
            lease: None,
            expected_revision: Revision::ABSENT,
            written: false,
            confirmed_at: None,
            next_call_at: Timestamp::ZERO,
        }
    }

    /// Sets whether the agent is to be listed, and returns whether that is a change.
    pub fn set_wanted(&mut self, wanted: bool, now: Timestamp) -> bool {
        if self.wanted == wanted {
            return false;
        }
        self.wanted = wanted;
        self.next_call_at = now;
        true
    }

    /// Returns whether the agent is to be listed but the store has not confirmed it recently.
    #[must_use]
    pub fn is_unconfirmed(&self, now: Timestamp) -> bool {
        let limit = self.ttl / Self::RENEWALS_PER_TTL + Self::RETRY_INTERVAL;
        self.wanted && self.confirmed_at.is_none_or(|at| now.since(at) > limit)
    }

    /// Returns the next step at `now`.
    #[must_use]
    pub fn next_step(&self, now: Timestamp) -> ListingStep {
        let call = match (self.wanted, self.lease) {
            (true, None) => ListingCall::Grant(self.ttl),
            (true, Some(lease)) if !self.written => {
                ListingCall::Write(lease, self.expected_revision)
            }
            (true, Some(lease)) => ListingCall::Renew(lease),
            (false, Some(lease)) => ListingCall::Release(lease),
            (false, None) => return ListingStep::Idle,
        };
        if now < self.next_call_at {
            return ListingStep::Wait(self.next_call_at);
        }
        ListingStep::Call(call)
    }

    /// Records the result of the last call.
    pub fn on_reply(&mut self, reply: ListingReply, now: Timestamp) {
        match reply {
            ListingReply::Granted(lease, ttl) => {
                self.lease = Some(lease);
                self.written = false;
                self.ttl = ttl;
            }
            ListingReply::Written => {
                self.written = true;
                self.confirmed_at = Some(now);
                self.next_call_at = now + self.ttl / Self::RENEWALS_PER_TTL;
            }
            ListingReply::Conflict(revision) => self.expected_revision = revision,
            ListingReply::Renewed => {
                self.confirmed_at = Some(now);
                self.next_call_at = now + self.ttl / Self::RENEWALS_PER_TTL;
            }
            ListingReply::LeaseEnded => {
                self.lease = None;
                self.written = false;
                self.expected_revision = Revision::ABSENT;
                self.confirmed_at = None;
            }
            ListingReply::Released => {
                self.lease = None;
                self.written = false;
            }
            ListingReply::Failed => self.next_call_at = now + Self::RETRY_INTERVAL,
        }
    }
}
