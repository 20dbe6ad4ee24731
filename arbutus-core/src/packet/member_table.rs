use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{AgentListing, AgentReport, member::Member};
use crate::{ident::ServiceTag, time::Timestamp};

/// The effect of a listing or report on a balancer's view of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// The agent was added, or a newer incarnation replaced the earlier one.
    Joined,
    /// The status of the agent has changed.
    Status,
    /// The agent was removed.
    Left,
    /// Nothing changed that is logged.
    Unchanged,
    /// The information was older than the present view and was ignored.
    Stale,
}

/// The agents in a balancer's view.
#[derive(Debug, Default)]
pub(super) struct MemberTable {
    /// The agents by address.
    members: IndexMap<SocketAddrV4, Member>,
}

impl MemberTable {
    /// Records that the store lists an agent.
    pub(super) fn on_listed(&mut self, listing: &AgentListing, now: Timestamp) -> MemberChange {
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

    /// Records an agent in another balancer's view. The store may not list it.
    pub(super) fn on_peer_listing(&mut self, listing: &AgentListing, now: Timestamp) {
        let known = self.members.get(&listing.agent);
        if known.is_none_or(|it| it.incarnation < listing.incarnation) {
            let listed = known.is_some_and(|it| it.listed);
            self.members
                .insert(listing.agent, Member::new(listing, listed, now));
        }
    }

    /// Records that the store no longer lists the agent, which stays in the view while messages
    /// from it arrive.
    pub(super) fn on_unlisted(&mut self, agent: SocketAddrV4) -> MemberChange {
        match self.members.get_mut(&agent) {
            Some(member) => {
                member.listed = false;
                MemberChange::Unchanged
            }
            None => MemberChange::Stale,
        }
    }

    /// Records a report of an agent.
    pub(super) fn on_report(&mut self, report: AgentReport, now: Timestamp) -> MemberChange {
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
            member.on_report(report, now);
        }
        change
    }

    /// Removes and returns the agents that are not listed and have sent nothing for `limit`.
    pub(super) fn expire(&mut self, limit: Duration, now: Timestamp) -> Vec<SocketAddrV4> {
        let gone: Vec<_> = self
            .members
            .values()
            .filter(|it| !it.listed && it.idle_for(now) >= limit)
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
