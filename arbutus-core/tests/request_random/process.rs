//! Events for the agents; the resulting actions are checked and turned into messages.

use arbutus_core::{
    request::{Action, Attempt, Event, Outcome, UpstreamHead},
    time::Timestamp,
};

use crate::{
    in_flight::{InFlight, Sender},
    journal::{CallId, ProcessId},
    world::World,
};

impl World {
    /// Feeds an event about an attempt to the process that made it, if that process still exists.
    pub(crate) fn upstream(&mut self, process: ProcessId, attempt: Attempt, event: Event) {
        if self.is_dead(process) {
            return;
        }
        if let Some(agent) = self.agents[process.index].as_mut() {
            // A paused process resumes and reads this event from its sockets first.
            agent.paused = false;
        }
        let freed = matches!(
            event,
            Event::UpstreamEnded { .. }
                | Event::UpstreamFailed { .. }
                | Event::UpstreamClosed { .. }
        );
        if freed {
            self.journal.free_slot(process, attempt);
        }
        self.feed(process.index, event);
    }

    pub(crate) fn feed(&mut self, index: usize, event: Event) {
        let now = self.now;
        let Some(agent) = self.running(index) else {
            return;
        };
        let process = agent.process;
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
            "the state machine counted a violated invariant"
        );
        let refuses = agent.stopping;
        for action in actions {
            if let Action::Connect { attempt } = action {
                assert!(
                    !refuses || arrived != Some(attempt.request),
                    "a request was admitted after the stop"
                );
            }
            if let Action::Finish { request } = &action {
                assert_eq!(
                    ended,
                    Some(*request),
                    "an incomplete response ended cleanly"
                );
            }
            if let Action::Relay { attempt, .. } = &action {
                assert_eq!(
                    head_of,
                    Some(*attempt),
                    "a response was relayed to another request"
                );
            }
            self.act(process, action);
        }
        if let Some(request) = cancelled {
            self.journal.record_cancelled(process, request);
        }
        self.journal.check_deadlines(process, now);
        let agent = self.agents[index].as_ref().unwrap();
        let held = self.journal.slots_held(process);
        assert_eq!(
            agent.machine.slots_in_use() as usize,
            held,
            "the agent miscounts its slots"
        );
    }

    pub(crate) fn act(&mut self, process: ProcessId, action: Action) {
        let origin = |world: &Self, request| {
            world.agents[process.index].as_ref().unwrap().requests[&request]
        };
        match action {
            Action::Connect { attempt } => {
                self.journal.take_slot(process, attempt, self.shape.slots);
                self.in_flight.push(InFlight::Connect { process, attempt });
            }
            Action::Send { attempt, .. } => {
                let (call, _) = origin(self, attempt.request);
                self.in_flight.push(InFlight::AtBackend {
                    process,
                    attempt,
                    call,
                });
            }
            Action::HandOver { attempt, peer, .. } | Action::PassOn { attempt, peer, .. } => {
                let (call, _) = origin(self, attempt.request);
                let to = usize::from(peer.port() - 6_000);
                let sender = Sender::Peer(process, attempt);
                self.in_flight.push(InFlight::Request { to, call, sender });
            }
            Action::Relay { attempt, .. } => {
                let (call, sender) = origin(self, attempt.request);
                if let Sender::Caller = sender {
                    self.journal.record_outcome(call, Outcome::Ran);
                }
            }
            Action::Finish { request } | Action::Abort { request } => {
                let complete = matches!(action, Action::Finish { .. });
                self.journal.record_settled(process, request);
                let (call, sender) = origin(self, request);
                let head = UpstreamHead::new(200).outcome(Outcome::Ran);
                self.reply(call, sender, head, complete, None);
            }
            Action::Answer { request, answer } => {
                self.journal.record_settled(process, request);
                let (call, sender) = origin(self, request);
                if let Sender::Caller = sender {
                    self.journal.record_outcome(call, answer.outcome);
                }
                let head = UpstreamHead::new(answer.status).outcome(answer.outcome);
                let offer = answer.offer.as_deref().map(str::to_owned);
                self.reply(call, sender, head, true, offer);
            }
            Action::Cancel { attempt } => {
                self.in_flight.push(InFlight::Closing { process, attempt });
                self.reset_at_peer(process, attempt);
            }
        }
    }

    pub(crate) fn reset_at_peer(&mut self, process: ProcessId, attempt: Attempt) {
        let is_from_attempt =
            |it: &Sender| matches!(it, Sender::Peer(of, at) if (*of, *at) == (process, attempt));
        for agent in self.agents.iter().flatten() {
            let request_of_attempt = agent
                .requests
                .iter()
                .find(|(_, (_, sender))| is_from_attempt(sender));
            if let Some((request, _)) = request_of_attempt {
                self.in_flight.push(InFlight::Reset {
                    to: agent.process,
                    request: *request,
                });
            }
        }
    }

    pub(crate) fn reply(
        &mut self,
        call: CallId,
        sender: Sender,
        head: UpstreamHead,
        complete: bool,
        offer: Option<String>,
    ) {
        match sender {
            Sender::Caller => {
                let outcome = head.outcome.unwrap();
                self.in_flight.push(InFlight::Answer {
                    call,
                    outcome,
                    offer,
                });
            }
            Sender::Peer(to, attempt) => {
                self.in_flight.push(InFlight::PeerAnswer {
                    to,
                    attempt,
                    head,
                    complete,
                });
            }
        }
    }
}
