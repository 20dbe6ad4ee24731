use std::time::Duration;

use super::{BackendProcess, EarlierListing, ListingRecord, StoreEra};
use crate::{apply::Revision, ident::Incarnation, time::Timestamp};

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
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListingCall {
    /// Request a lease with this TTL.
    Grant(Duration),
    /// Write the listing, which names this process of the backend server, under the lease, on
    /// condition that its key has this revision.
    Write(LeaseId, Revision, BackendProcess),
    /// Renew the lease.
    Renew(LeaseId),
    /// Remove the listing, on condition that its key has this revision. The lease expires by itself:
    /// after the store came back from an older copy, its number may belong to another agent.
    Remove(Revision),
}

/// The result of a [`ListingCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListingReply {
    /// The lease was granted, with this TTL.
    Granted(LeaseId, Duration),
    /// The listing was written, with this revision and this process of the backend server.
    Written(Revision, BackendProcess),
    /// Nothing was written or removed, because the key has this other revision and value. The value
    /// is `None` if there is none, or it cannot be read.
    Conflict(Revision, Option<ListingRecord>),
    /// The lease was renewed.
    Renewed,
    /// The lease has expired or does not exist.
    LeaseEnded,
    /// The listing was removed.
    Removed,
    /// The store did not answer, or the answer is inconclusive.
    Failed,
}

/// The next step to maintain a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
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
///
/// When the store comes back from an older copy, the listing and its lease may be gone, and the
/// number of the lease may belong to another agent. The listing is then written again under a new
/// lease.
///
/// The listing names the process of the backend server that the agent serves. The entry that was
/// there before tells which one the agent's process before this one served.
#[derive(Debug)]
pub struct Registration {
    incarnation: Incarnation,
    ttl: Duration,
    /// The pause before the first call after the store came back from an older copy.
    restore_delay: Duration,
    /// The process of the backend server for which the agent is to be listed, if it is.
    wanted: Option<BackendProcess>,
    earlier: EarlierListing,
    /// The era in which `lease`, `expected_revision` and `written` were received.
    era: Option<StoreEra>,
    lease: Option<LeaseId>,
    /// The revision that the next write expects the key to have.
    expected_revision: Revision,
    /// The listing that was written under `lease`.
    written: Option<WrittenListing>,
    /// The time of the last write or renewal that the store confirmed.
    confirmed_at: Option<Timestamp>,
    next_call_at: Timestamp,
}

/// A listing that the store has confirmed.
#[derive(Debug)]
struct WrittenListing {
    revision: Revision,
    /// The process of the backend server that the listing names.
    process: BackendProcess,
}

impl Registration {
    /// The number of renewals within the TTL of a lease.
    const RENEWALS_PER_TTL: u32 = 3;

    /// The pause before the next call after one that failed.
    const RETRY_INTERVAL: Duration = Duration::from_millis(600);

    /// The time over which agents spread their calls after the store came back from an older copy.
    const RESTORE_SPREAD: Duration = Duration::from_secs(1);

    /// Creates a registration of the agent's process `incarnation` that is not wanted yet and uses
    /// leases with `ttl`.
    ///
    /// `seed` differs from agent to agent, so that they do not all call a restored store at once.
    #[must_use]
    pub fn new(incarnation: Incarnation, ttl: Duration, seed: u64) -> Self {
        let spread_ms = u64::try_from(Self::RESTORE_SPREAD.as_millis()).unwrap_or(u64::MAX);
        Self {
            incarnation,
            ttl,
            restore_delay: Duration::from_millis(seed % spread_ms),
            wanted: None,
            earlier: EarlierListing::Unknown,
            era: None,
            lease: None,
            expected_revision: Revision::ABSENT,
            written: None,
            confirmed_at: None,
            next_call_at: Timestamp::ZERO,
        }
    }

    /// Sets for which process of the backend server the agent is to be listed, if it is, and returns
    /// whether that is a change.
    pub fn set_wanted(&mut self, wanted: Option<BackendProcess>, now: Timestamp) -> bool {
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
        self.wanted.is_some() && self.confirmed_at.is_none_or(|at| now.since(at) > limit)
    }

    /// Returns the next step at `now`.
    #[must_use]
    pub fn next_step(&self, now: Timestamp) -> ListingStep {
        let call = match (&self.wanted, self.lease, &self.written) {
            (Some(_), None, _) => ListingCall::Grant(self.ttl),
            (Some(process), Some(lease), None) => {
                ListingCall::Write(lease, self.expected_revision, process.clone())
            }
            (Some(process), Some(lease), Some(written)) if written.process != *process => {
                ListingCall::Write(lease, written.revision, process.clone())
            }
            (Some(_), Some(lease), Some(_)) => ListingCall::Renew(lease),
            (None, _, Some(written)) => ListingCall::Remove(written.revision),
            (None, _, None) => return ListingStep::Idle,
        };
        if now < self.next_call_at {
            return ListingStep::Wait(self.next_call_at);
        }
        ListingStep::Call(call)
    }

    /// Returns what the store says about the agent's process before this one.
    #[must_use]
    pub const fn earlier_listing(&self) -> &EarlierListing {
        &self.earlier
    }

    /// Records the result of the last call. `era` is the latest era of the store that an answer has
    /// named.
    ///
    /// Returns whether the store has come back from an older copy since the call before.
    pub fn on_reply(&mut self, reply: ListingReply, era: Option<StoreEra>, now: Timestamp) -> bool {
        let restored = self.era.is_some() && era > self.era;
        self.era = self.era.max(era);
        if !restored {
            self.apply(reply, now);
            return false;
        }
        self.forget_listing();
        self.next_call_at = now + self.restore_delay;
        // Of all answers to a call made before, only a granted lease is valid in the new era.
        if let ListingReply::Granted(lease, ttl) = reply {
            self.on_granted(lease, ttl);
        }
        true
    }

    fn apply(&mut self, reply: ListingReply, now: Timestamp) {
        match reply {
            ListingReply::Granted(lease, ttl) => self.on_granted(lease, ttl),
            ListingReply::Written(revision, process) => {
                self.record_earlier(Revision::ABSENT, None);
                self.written = Some(WrittenListing { revision, process });
                self.on_confirmed(now);
            }
            ListingReply::Conflict(..) if self.wanted.is_none() => self.forget_listing(),
            ListingReply::Conflict(revision, found) => {
                self.record_earlier(revision, found);
                self.written = None;
                self.expected_revision = revision;
            }
            ListingReply::Renewed => self.on_confirmed(now),
            ListingReply::LeaseEnded | ListingReply::Removed => self.forget_listing(),
            ListingReply::Failed => self.next_call_at = now + Self::RETRY_INTERVAL,
        }
    }

    /// Records the entry that the store had before this process wrote its own, if any. Only the
    /// first answer tells that.
    fn record_earlier(&mut self, revision: Revision, found: Option<ListingRecord>) {
        if self.earlier != EarlierListing::Unknown {
            return;
        }
        let own = |it: &ListingRecord| it.listing.incarnation == self.incarnation;
        self.earlier = match found {
            _ if revision == Revision::ABSENT => EarlierListing::Absent,
            // A write of this process has taken effect although its answer was lost, on condition
            // that there was no entry.
            Some(record) if own(&record) => EarlierListing::Absent,
            found => EarlierListing::Served(found.and_then(|it| it.backend)),
        };
    }

    fn on_granted(&mut self, lease: LeaseId, ttl: Duration) {
        self.lease = Some(lease);
        self.written = None;
        self.ttl = ttl;
    }

    fn on_confirmed(&mut self, now: Timestamp) {
        self.confirmed_at = Some(now);
        let written = self.written.as_ref().map(|it| &it.process);
        // The listing may have become outdated during the call.
        self.next_call_at = if written == self.wanted.as_ref() {
            now + self.ttl / Self::RENEWALS_PER_TTL
        } else {
            now
        };
    }

    fn forget_listing(&mut self) {
        self.lease = None;
        self.written = None;
        self.expected_revision = Revision::ABSENT;
        self.confirmed_at = None;
    }
}
