use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{AgentListing, AgentReport, member::Member};
use crate::{ident::ServiceTag, time::Timestamp};

/// What news did to a balancer's knowledge of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// The agent was unknown, or another incarnation was known.
    Joined,
    /// Its status has changed.
    Status,
    /// It is no longer known.
    Left,
    /// Nothing that is worth a log line.
    Unchanged,
    /// The news was older than what is known.
    Stale,
}

/// The agents that a balancer knows.
#[derive(Debug, Default)]
pub(super) struct MemberTable {
    /// Each entry's key is its agent's address.
    members: IndexMap<SocketAddrV4, Member>,
}

impl MemberTable {
    /// Takes in a listing of the store.
    pub(super) fn list(&mut self, listing: &AgentListing, now: Timestamp) -> MemberChange {
        if let Some(member) = self.members.get_mut(&listing.agent) {
            if listing.incarnation < member.incarnation {
                return MemberChange::Stale;
            }
            if listing.incarnation == member.incarnation {
                member.listed = true;
                return MemberChange::Unchanged;
            }
        }
        self.members
            .insert(listing.agent, Member::new(listing, true, now));
        MemberChange::Joined
    }

    /// Takes in that another balancer knows the agent, which may not be listed.
    pub(super) fn tell(&mut self, listing: &AgentListing, now: Timestamp) {
        let known = self.members.get(&listing.agent);
        if known.is_none_or(|it| it.incarnation < listing.incarnation) {
            let listed = known.is_some_and(|it| it.listed);
            self.members
                .insert(listing.agent, Member::new(listing, listed, now));
        }
    }

    /// Takes in that the store no longer lists the agent, which stays as long as it is heard.
    pub(super) fn unlist(&mut self, agent: SocketAddrV4) -> MemberChange {
        match self.members.get_mut(&agent) {
            Some(member) => {
                member.listed = false;
                MemberChange::Unchanged
            }
            None => MemberChange::Stale,
        }
    }

    /// Takes in an agent's own word.
    pub(super) fn report(&mut self, report: AgentReport, now: Timestamp) -> MemberChange {
        let known = self.members.get(&report.agent);
        let older = known.is_some_and(|member| {
            let last = member.report.as_ref().map_or(0, |it| it.sequence);
            (report.incarnation, report.sequence) < (member.incarnation, last)
        });
        if older {
            return MemberChange::Stale;
        }
        let same = known.filter(|it| it.incarnation == report.incarnation);
        let change = match same {
            Some(member) if member.status() == Some(report.status) => MemberChange::Unchanged,
            Some(_) => MemberChange::Status,
            None => MemberChange::Joined,
        };
        if same.is_none() {
            let listed = known.is_some_and(|it| it.listed);
            let member = Member::new(&report.listing(), listed, now);
            self.members.insert(report.agent, member);
        }
        if let Some(member) = self.members.get_mut(&report.agent) {
            member.hear(report, now);
        }
        change
    }

    /// Forgets agents that are not listed and were not heard for `limit`, and gives them.
    pub(super) fn expire(&mut self, limit: Duration, now: Timestamp) -> Vec<SocketAddrV4> {
        let gone: Vec<_> = self
            .members
            .values()
            .filter(|it| !it.listed && it.quiet_for(now) >= limit)
            .map(|it| it.agent)
            .collect();
        for agent in &gone {
            self.members.swap_remove(agent);
        }
        gone
    }

    pub(super) fn get(&self, agent: SocketAddrV4) -> Option<&Member> {
        self.members.get(&agent)
    }

    pub(super) fn get_mut(&mut self, agent: SocketAddrV4) -> Option<&mut Member> {
        self.members.get_mut(&agent)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    pub(super) fn of_service(&self, service: ServiceTag) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |it| it.service == service)
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }
}
