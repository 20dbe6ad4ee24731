//! Agents take in events; what they want done is checked and put on its way.

use arbutus_core::{
    request::{Action, Attempt, Event, Outcome, UpstreamHead},
    time::Timestamp,
};

use crate::{
    flight::{Asker, Flight},
    journal::{CallId, Life},
    world::World,
};

impl World {
    /// Feeds an event about an attempt to the process that made it, if it is still there.
    pub(crate) fn upstream(&mut self, life: Life, attempt: Attempt, event: Event) {
        if self.is_dead(life) {
            return;
        }
        if let Some(agent) = self.agents[life.place].as_mut() {
            // A paused process wakes and finds this in its sockets first.
            agent.paused = false;
        }
        let freed = matches!(
            event,
            Event::UpstreamEnded { .. }
                | Event::UpstreamFailed { .. }
                | Event::UpstreamClosed { .. }
        );
        if freed {
            self.journal.free_slot(life, attempt);
        }
        self.feed(life.place, event);
    }

    pub(crate) fn feed(&mut self, place: usize, event: Event) {
        let now = self.now;
        let Some(agent) = self.live(place) else {
            return;
        };
        let life = agent.life;
        let local = Timestamp::ZERO + now.since(agent.started);
        let head_of = match &event {
            Event::UpstreamHead { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let ended = match &event {
            Event::UpstreamEnded { attempt } => Some(attempt.request),
            _ => None,
        };
        let arrived = match &event {
            Event::Arrived { request, .. } => Some(*request),
            _ => None,
        };
        let cancelled = match &event {
            Event::CallerCancelled { request } => Some(*request),
            _ => None,
        };
        let actions = agent.machine.handle(event, local);
        let counters = agent.machine.counters();
        assert_eq!(
            counters.invariant_violations, 0,
            "an invariant inside the machine broke"
        );
        let refuses = agent.stopping;
        for action in actions {
            if let Action::Connect { attempt } = action {
                assert!(
                    !refuses || arrived != Some(attempt.request),
                    "admitted after stop"
                );
            }
            if let Action::Finish { request } = &action {
                assert_eq!(ended, Some(*request), "a short response ended cleanly");
            }
            if let Action::Relay { attempt, .. } = &action {
                assert_eq!(head_of, Some(*attempt), "a response met another request");
            }
            self.act(life, action);
        }
        if let Some(request) = cancelled {
            self.journal.cancel(life, request);
        }
        self.journal.check_deadlines(life, now);
        let agent = self.agents[place].as_ref().unwrap();
        let held = self.journal.slots_held(life);
        assert_eq!(
            agent.machine.slots_in_use() as usize,
            held,
            "slots are miscounted"
        );
    }

    pub(crate) fn act(&mut self, life: Life, action: Action) {
        let origin =
            |world: &Self, request| world.agents[life.place].as_ref().unwrap().requests[&request];
        match action {
            Action::Connect { attempt } => {
                self.journal.take_slot(life, attempt, self.shape.slots);
                self.flights.push(Flight::Connect { life, attempt });
            }
            Action::Send { attempt, .. } => {
                let (call, _) = origin(self, attempt.request);
                self.flights.push(Flight::AtBackend {
                    life,
                    attempt,
                    call,
                });
            }
            Action::HandOver { attempt, peer, .. } | Action::PassOn { attempt, peer, .. } => {
                let (call, _) = origin(self, attempt.request);
                let to = usize::from(peer.port() - 6_000);
                let asker = Asker::Peer(life, attempt);
                self.flights.push(Flight::Request { to, call, asker });
            }
            Action::Relay { attempt, .. } => {
                let (call, asker) = origin(self, attempt.request);
                if let Asker::Caller = asker {
                    self.journal.tell(call, Outcome::Ran);
                }
            }
            Action::Finish { request } | Action::Abort { request } => {
                let whole = matches!(action, Action::Finish { .. });
                self.journal.settle(life, request);
                let (call, asker) = origin(self, request);
                let head = UpstreamHead::new(200).outcome(Outcome::Ran);
                self.reply(call, asker, head, whole, None);
            }
            Action::Answer { request, answer } => {
                self.journal.settle(life, request);
                let (call, asker) = origin(self, request);
                if let Asker::Caller = asker {
                    self.journal.tell(call, answer.outcome);
                }
                let head = UpstreamHead::new(answer.status).outcome(answer.outcome);
                let offer = answer.offer.as_deref().map(str::to_owned);
                self.reply(call, asker, head, true, offer);
            }
            Action::Cancel { attempt } => {
                self.flights.push(Flight::Closing { life, attempt });
                self.reset_at_peer(life, attempt);
            }
        }
    }

    pub(crate) fn reset_at_peer(&mut self, life: Life, attempt: Attempt) {
        let from_here =
            |asker: &Asker| matches!(asker, Asker::Peer(of, at) if (*of, *at) == (life, attempt));
        for agent in self.agents.iter().flatten() {
            let asked = agent
                .requests
                .iter()
                .find(|(_, (_, asker))| from_here(asker));
            if let Some((request, _)) = asked {
                self.flights.push(Flight::Reset {
                    to: agent.life,
                    request: *request,
                });
            }
        }
    }

    pub(crate) fn reply(
        &mut self,
        call: CallId,
        asker: Asker,
        head: UpstreamHead,
        whole: bool,
        offer: Option<String>,
    ) {
        match asker {
            Asker::Caller => {
                let outcome = head.outcome.unwrap();
                self.flights.push(Flight::Answer {
                    call,
                    outcome,
                    offer,
                });
            }
            Asker::Peer(to, attempt) => {
                self.flights.push(Flight::PeerAnswer {
                    to,
                    attempt,
                    head,
                    whole,
                });
            }
        }
    }
}
