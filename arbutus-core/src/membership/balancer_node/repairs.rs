//! Anti-entropy repair: finding and exchanging the records in which two balancers differ.

use std::{collections::BTreeSet, net::SocketAddrV4};

use rand::Rng;

use super::BalancerNode;
use crate::{
    membership::{Message, RepairLeaves, RepairListing},
    roster::{DigestTree, LeafId, LeafSet, MemberDigest},
    time::Timestamp,
};

impl BalancerNode {
    /// Consecutive keepalives with a different roster digest after which a repair starts.
    const MISMATCHES_BEFORE_REPAIR: u32 = 2;

    /// Starts a repair with the linked balancer whose roster digest has differed for longest.
    pub(super) fn start_repair(&mut self, now: Timestamp) {
        let needed = if self.is_joining {
            1
        } else {
            Self::MISMATCHES_BEFORE_REPAIR
        };
        let differing = self
            .overlay
            .links
            .values()
            .filter(|link| link.mismatches >= needed)
            .max_by_key(|link| link.mismatches)
            .map(|link| link.control);
        if let Some(peer) = differing {
            self.repair_with(peer, now);
        }
    }

    pub(super) fn repair_with(&mut self, peer: SocketAddrV4, now: Timestamp) {
        if now < self.next_repair {
            return;
        }
        let factor = self.rng.random_range(1.0..1.5);
        self.next_repair = now + self.settings.repair_interval.mul_f64(factor);
        let branches = self.roster.digests().branches();
        self.send(peer, &Message::RepairBranches(branches));
    }

    pub(super) fn on_repair_branches(&mut self, from: SocketAddrV4, theirs: &[u32]) {
        let ours = self.roster.digests().branches();
        let differing: Vec<u16> = (0..DigestTree::FANOUT)
            .filter(|it| theirs.get(usize::from(*it)) != ours.get(usize::from(*it)))
            .collect();
        if differing.is_empty() {
            return;
        }
        let start = self.rng.random_range(0..differing.len());
        let count = differing.len().min(self.settings.max_repair_branches);
        for branch in differing.iter().cycle().skip(start).take(count) {
            let leaves = RepairLeaves {
                branch: *branch,
                digests: self.roster.digests().leaves_of(*branch),
            };
            self.send(from, &Message::RepairLeaves(leaves));
        }
    }

    pub(super) fn on_repair_leaves(&mut self, from: SocketAddrV4, theirs: &RepairLeaves) {
        let ours = self.roster.digests().leaves_of(theirs.branch);
        let first = theirs.branch.saturating_mul(DigestTree::FANOUT);
        let differing: LeafSet = ours
            .iter()
            .zip(&theirs.digests)
            .zip(first..)
            .filter(|((ours, theirs), _)| ours != theirs)
            .filter_map(|(_, number)| LeafId::new(number))
            .collect();
        if differing.is_empty() {
            return;
        }
        let listing = RepairListing {
            leaves: differing.iter().map(LeafId::get).collect(),
            members: self.roster.member_digests(&differing),
        };
        self.send(from, &Message::RepairListing(listing));
    }

    pub(super) fn on_repair_listing(
        &mut self,
        from: SocketAddrV4,
        theirs: &RepairListing,
        now: Timestamp,
    ) {
        let leaves: LeafSet = theirs
            .leaves
            .iter()
            .filter_map(|number| LeafId::new(*number))
            .collect();
        let ours: BTreeSet<MemberDigest> =
            self.roster.member_digests(&leaves).into_iter().collect();
        let wanted: Vec<u32> = theirs
            .members
            .iter()
            .filter(|member| !ours.contains(member))
            .map(|member| member.key_digest)
            .collect();
        let missing = self.roster.differing_from(&leaves, &theirs.members);
        self.send_records(from, &missing, now);
        if !wanted.is_empty() {
            self.send(from, &Message::RepairRequest(wanted));
        }
    }

    pub(super) fn on_repair_request(&mut self, from: SocketAddrV4, keys: &[u32], now: Timestamp) {
        let members = self.roster.members_by_key_digest(keys);
        self.send_records(from, &members, now);
    }
}
