//! Merging of records and propagation of changes.

use std::net::SocketAddrV4;

use super::BalancerNode;
use crate::{
    ident::ServiceTag,
    membership::{Message, Push},
    roster::{AgentState, MemberKey, MergeOutcome, Rank, Update},
    time::Timestamp,
};

impl BalancerNode {
    /// Size of the records in one repair message after which the next message begins, in bytes.
    const REPAIR_MESSAGE_BYTES: usize = 8 * 1_024;

    pub(super) fn on_push(&mut self, from: SocketAddrV4, push: Push, now: Timestamp) {
        for update in push.updates {
            self.merge(update, Some(from), now);
        }
    }

    /// Merges a record received from another node, or one created here if `from` is `None`.
    pub(super) fn merge(&mut self, update: Update, from: Option<SocketAddrV4>, now: Timestamp) {
        let key = update.key();
        if self.refute_own_record(&update, now) {
            return;
        }
        let old_tag = self.tag_of(&key);
        match self.roster.merge(update, now) {
            MergeOutcome::Changed => {
                self.changed_tags.extend(old_tag);
                self.on_change(&key, from, now);
            }
            MergeOutcome::Unchanged => {
                if let Some(from) = from {
                    self.overlay.remove_pending(from, &key);
                }
            }
            MergeOutcome::Stale => {
                let link = from.and_then(|from| self.overlay.get_mut(from));
                if let Some(link) = link {
                    link.enqueue(&key);
                }
            }
            MergeOutcome::Ignored => {}
            MergeOutcome::Conflict => self.invariant_violations += 1,
        }
    }

    /// Propagates a changed record and updates the state derived from it.
    ///
    /// While the balancer is joining, records received from others are not forwarded.
    fn on_change(&mut self, key: &MemberKey, from: Option<SocketAddrV4>, now: Timestamp) {
        if !(self.is_joining && from.is_some()) {
            self.overlay.enqueue(key, from);
        }
        match key {
            MemberKey::Agent(tunnel) => {
                self.changed_tags.extend(self.tag_of(key));
                self.update_watch(*tunnel, now);
            }
            MemberKey::Balancer(_) => self.live_balancers_outdated = true,
            MemberKey::Domain(name) => {
                self.live_balancers_outdated = true;
                self.changed_tags.extend(self.roster.tags_in(name));
                self.refute_own_domain(name, now);
            }
        }
    }

    fn tag_of(&self, key: &MemberKey) -> Option<ServiceTag> {
        match key {
            MemberKey::Agent(tunnel) => self.roster.agent(*tunnel).map(|agent| agent.tag),
            _ => None,
        }
    }

    /// Raises this balancer's own rank if the update reports a higher one, and returns whether the
    /// update is about this balancer.
    fn refute_own_record(&mut self, update: &Update, now: Timestamp) -> bool {
        let rank = match update {
            Update::Balancer { record, .. } if record.control == self.record.control => {
                record.rank()
            }
            Update::BalancerRank { control, rank, .. } if *control == self.record.control => *rank,
            _ => return false,
        };
        self.refute(rank, now);
        true
    }

    /// Raises this balancer's own rank above a higher one that other nodes hold.
    pub(super) fn refute(&mut self, rank: Rank, now: Timestamp) {
        if rank <= self.record.rank() {
            return;
        }
        if rank.incarnation > self.record.incarnation {
            self.record.incarnation = rank.incarnation.next();
            self.record.version = 1;
        } else {
            self.record.version = rank.version + 1;
        }
        let record = self.record.clone();
        let key = MemberKey::Balancer(record.control);
        self.roster
            .merge(Update::Balancer { record, age_s: 0 }, now);
        self.overlay.enqueue(&key, None);
    }

    /// Marks a live member as suspect.
    pub(super) fn suspect(&mut self, key: &MemberKey, now: Timestamp) {
        if let Some(update) = self.suspicion(key) {
            self.merge(update, None, now);
        }
    }

    fn suspicion(&self, key: &MemberKey) -> Option<Update> {
        let rank = self.roster.rank(key).filter(|rank| rank.state.is_live())?;
        let rank = Rank {
            state: AgentState::Suspect,
            ..rank
        };
        let age_s = 0;
        match *key {
            MemberKey::Agent(tunnel) => Some(Update::AgentRank {
                tunnel,
                rank,
                weight_percent: self.roster.agent(tunnel)?.weight_percent,
                age_s,
            }),
            MemberKey::Balancer(control) => Some(Update::BalancerRank {
                control,
                rank,
                age_s,
            }),
            MemberKey::Domain(_) => None,
        }
    }

    /// Sends pending changes over each link, up to `max_push_bytes` per link.
    pub(super) fn push_changes(&mut self, now: Timestamp) {
        for index in 0..self.overlay.links.len() {
            let link = &mut self.overlay.links[index];
            let to = link.control;
            let (mut updates, mut bytes, mut taken) = (Vec::new(), 0, 0);
            for key in &link.pending {
                if bytes >= self.settings.max_push_bytes {
                    break;
                }
                taken += 1;
                if let Some(update) = self.roster.update_for(key, true, now) {
                    bytes += encoded_bytes(&update);
                    updates.push(update);
                }
            }
            link.pending.drain(..taken);
            if !updates.is_empty() {
                self.send(to, &Message::Push(Push { updates }));
            }
        }
    }

    /// Sends full records, split into several messages if there are many.
    pub(super) fn send_records(&mut self, to: SocketAddrV4, keys: &[MemberKey], now: Timestamp) {
        let mut updates = Vec::new();
        let mut bytes = 0;
        for key in keys {
            let Some(update) = self.roster.update_for(key, false, now) else {
                continue;
            };
            bytes += encoded_bytes(&update);
            updates.push(update);
            if bytes >= Self::REPAIR_MESSAGE_BYTES {
                let updates = std::mem::take(&mut updates);
                self.send(to, &Message::Push(Push { updates }));
                bytes = 0;
            }
        }
        if !updates.is_empty() {
            self.send(to, &Message::Push(Push { updates }));
        }
    }
}

fn encoded_bytes(update: &Update) -> usize {
    postcard::to_stdvec(update).map_or(0, |bytes| bytes.len())
}
