use std::time::Duration;

use crate::{apply::Revision, time::Timestamp};

/// A lease that the store granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(u64);

impl LeaseId {
    /// Makes an identifier from the store's number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The store's number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A call that keeps an agent's listing in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingCall {
    /// Ask for a lease of this length.
    Grant(Duration),
    /// Write the listing under the lease if its key has this revision.
    Write(LeaseId, Revision),
    /// Renew the lease.
    Renew(LeaseId),
    /// End the lease, and with it the listing.
    Release(LeaseId),
}

/// What came of a [`ListingCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingReply {
    /// The lease, and the length that applies.
    Granted(LeaseId, Duration),
    /// The listing is written.
    Written,
    /// The key has another revision.
    Conflict(Revision),
    /// The lease goes on.
    Renewed,
    /// The store knows no such lease.
    LeaseEnded,
    /// The lease was ended.
    Released,
    /// No answer, or one that says nothing.
    Failed,
}

/// What is to be done for the listing now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingStep {
    /// Make this call.
    Call(ListingCall),
    /// Nothing until this time.
    Wait(Timestamp),
    /// Nothing until something changes.
    Idle,
}

/// Keeps an agent listed in the store under a lease.
///
/// A write whose answer was lost may still be carried out later. The condition on the revision
/// keeps it from undoing a later one, and since a lease whose grant was lost is never written
/// under, a late grant is without effect.
#[derive(Debug)]
pub struct Registration {
    ttl: Duration,
    wanted: bool,
    lease: Option<LeaseId>,
    /// The revision that the key is thought to have.
    revision: Revision,
    /// Whether the listing stands under `lease`.
    written: bool,
    /// When the store last said that the listing stands.
    confirmed_at: Option<Timestamp>,
    due: Timestamp,
}

impl Registration {
    /// Renewals within the time that a lease runs.
    const RENEWALS: u32 = 3;

    /// Pause after a call that failed.
    const RETRY: Duration = Duration::from_millis(600);

    /// Makes the keeper of a listing that is not wanted yet, under leases of `ttl`.
    #[must_use]
    pub const fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            wanted: false,
            lease: None,
            revision: Revision::ABSENT,
            written: false,
            confirmed_at: None,
            due: Timestamp::ZERO,
        }
    }

    /// Says whether the agent is to be listed; gives whether that is news.
    pub fn set_wanted(&mut self, wanted: bool, now: Timestamp) -> bool {
        if self.wanted == wanted {
            return false;
        }
        self.wanted = wanted;
        self.due = now;
        true
    }

    /// Whether the agent is to be listed and the store has not confirmed it lately.
    #[must_use]
    pub fn is_unconfirmed(&self, now: Timestamp) -> bool {
        let limit = self.ttl / Self::RENEWALS + Self::RETRY;
        self.wanted && self.confirmed_at.is_none_or(|at| now.since(at) > limit)
    }

    /// What is to be done at `now`.
    #[must_use]
    pub fn next_step(&self, now: Timestamp) -> ListingStep {
        let call = match (self.wanted, self.lease) {
            (true, None) => ListingCall::Grant(self.ttl),
            (true, Some(lease)) if !self.written => ListingCall::Write(lease, self.revision),
            (true, Some(lease)) => ListingCall::Renew(lease),
            (false, Some(lease)) => ListingCall::Release(lease),
            (false, None) => return ListingStep::Idle,
        };
        if now < self.due {
            return ListingStep::Wait(self.due);
        }
        ListingStep::Call(call)
    }

    /// Takes in what came of the last call.
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
                self.due = now + self.ttl / Self::RENEWALS;
            }
            ListingReply::Conflict(revision) => self.revision = revision,
            ListingReply::Renewed => {
                self.confirmed_at = Some(now);
                self.due = now + self.ttl / Self::RENEWALS;
            }
            ListingReply::LeaseEnded => {
                self.lease = None;
                self.written = false;
                self.revision = Revision::ABSENT;
                self.confirmed_at = None;
            }
            ListingReply::Released => {
                self.lease = None;
                self.written = false;
            }
            ListingReply::Failed => self.due = now + Self::RETRY,
        }
    }
}
