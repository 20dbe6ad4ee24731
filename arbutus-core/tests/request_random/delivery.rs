//! Delivery, duplication and loss of messages in flight.

use std::time::Duration;

use arbutus_core::request::{
    Attempt, Event, Method, Origin, Outcome, RequestHead, RequestId, UpstreamHead,
};

use crate::{
    in_flight::{InFlight, Sender},
    journal::{Call, CallId, ProcessId},
    world::{DEADLINE_MS, World},
};

impl World {
    pub(crate) fn duplicate(&mut self, which: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let message = self.in_flight[which % self.in_flight.len()].clone();
        // A stream carries a request once; only requests with a key are sent again by the sender.
        if let InFlight::Request { call, .. } = message
            && self.journal.calls[call].key.is_some()
        {
            self.deliver(message, 0);
        }
    }

    pub(crate) fn lose(&mut self, which: usize, sent: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = which % self.in_flight.len();
        match self.in_flight[at].clone() {
            InFlight::Answer { .. } | InFlight::Reset { .. } => {
                self.in_flight.swap_remove(at);
            }
            InFlight::Request {
                sender: Sender::Peer(from, attempt),
                call,
                ..
            } => {
                let read = self.journal.calls[call].key.is_none();
                if !sent && read {
                    self.in_flight.swap_remove(at);
                }
                self.upstream(from, attempt, Event::UpstreamFailed { attempt, sent });
            }
            InFlight::PeerAnswer { to, attempt, .. } => {
                self.in_flight.swap_remove(at);
                self.upstream(
                    to,
                    attempt,
                    Event::UpstreamFailed {
                        attempt,
                        sent: true,
                    },
                );
            }
            _ => {}
        }
    }

    pub(crate) fn deliver(&mut self, message: InFlight, how: u8) {
        match message {
            InFlight::Request { to, call, sender } => self.deliver_request(to, call, sender),
            InFlight::Connect { process, attempt } => {
                let event = match how % 4 {
                    0 => Event::UpstreamFailed {
                        attempt,
                        sent: false,
                    },
                    _ => Event::Connected { attempt },
                };
                self.upstream(process, attempt, event);
            }
            InFlight::AtBackend {
                process,
                attempt,
                call,
            } => {
                self.deliver_to_backend(process, attempt, call, how);
            }
            InFlight::DelayedResponse { process, attempt } => {
                self.respond(process, attempt, how.is_multiple_of(3));
            }
            InFlight::Closing { process, attempt } => {
                self.upstream(process, attempt, Event::UpstreamClosed { attempt });
            }
            InFlight::Answer {
                call,
                outcome,
                offer,
            } => self.deliver_answer(call, outcome, offer),
            InFlight::PeerAnswer {
                to,
                attempt,
                head,
                complete,
            } => {
                self.upstream(to, attempt, Event::UpstreamHead { attempt, head });
                let end = if complete {
                    Event::UpstreamEnded { attempt }
                } else {
                    Event::UpstreamFailed {
                        attempt,
                        sent: true,
                    }
                };
                self.upstream(to, attempt, end);
            }
            InFlight::Reset { to, request } => {
                if self.is_running(to) {
                    self.feed(to.index, Event::CallerCancelled { request });
                }
            }
        }
    }

    pub(crate) fn deliver_request(&mut self, to: usize, call: CallId, sender: Sender) {
        let message = InFlight::Request { to, call, sender };
        let Some(agent) = self.agents[to].as_mut() else {
            if let Sender::Peer(from, attempt) = sender {
                self.upstream(
                    from,
                    attempt,
                    Event::UpstreamFailed {
                        attempt,
                        sent: false,
                    },
                );
            }
            return;
        };
        if agent.paused {
            self.in_flight.push(message);
            return;
        }
        self.requests += 1;
        let request = RequestId::new(self.requests);
        let Call { key, token } = self.journal.calls[call].clone();
        let mut head = match key {
            Some(key) => {
                RequestHead::new(Method::Other, "/confirm").idempotency_key(&format!("key {key}"))
            }
            None => RequestHead::new(Method::Get, "/codes"),
        };
        if let Some(token) = token {
            head = head.binding(&token);
        }
        match sender {
            Sender::Caller => self.open_calls.push((agent.process, request)),
            Sender::Peer(..) => head = head.origin(Origin::Peer),
        }
        agent.requests.insert(request, (call, sender));
        let deadline = self.now + Duration::from_millis(DEADLINE_MS);
        self.journal
            .record_arrival(agent.process, request, deadline);
        self.feed(to, Event::Arrived { request, head });
    }

    pub(crate) fn deliver_to_backend(
        &mut self,
        process: ProcessId,
        attempt: Attempt,
        call: CallId,
        how: u8,
    ) {
        match how % 8 {
            // The backend server sheds the request.
            0 => {
                let head = UpstreamHead::new(503).outcome(Outcome::NotRun);
                self.upstream(process, attempt, Event::UpstreamHead { attempt, head });
            }
            // The connection fails before the first byte.
            1 => {
                let event = Event::UpstreamFailed {
                    attempt,
                    sent: false,
                };
                self.upstream(process, attempt, event);
            }
            // The connection fails, but the backend server still runs the request later.
            2 => {
                let event = Event::UpstreamFailed {
                    attempt,
                    sent: true,
                };
                self.in_flight.push(InFlight::AtBackend {
                    process,
                    attempt,
                    call,
                });
                self.upstream(process, attempt, event);
            }
            // The request runs, but the response is delayed.
            3 => {
                self.journal.record_run(call);
                self.in_flight
                    .push(InFlight::DelayedResponse { process, attempt });
            }
            // The request runs, but the response is incomplete.
            4 => {
                self.journal.record_run(call);
                self.respond(process, attempt, false);
            }
            _ => {
                self.journal.record_run(call);
                self.respond(process, attempt, true);
            }
        }
    }

    pub(crate) fn respond(&mut self, process: ProcessId, attempt: Attempt, complete: bool) {
        let head = UpstreamHead::new(200);
        self.upstream(process, attempt, Event::UpstreamHead { attempt, head });
        let end = if complete {
            Event::UpstreamEnded { attempt }
        } else {
            Event::UpstreamFailed {
                attempt,
                sent: true,
            }
        };
        self.upstream(process, attempt, end);
    }

    /// Delivers an answer to a caller.
    ///
    /// The caller takes the offered binding only after `not-run` for an attempt that carried its
    /// current one.
    pub(crate) fn deliver_answer(&mut self, call: CallId, outcome: Outcome, offer: Option<String>) {
        let Call { key, token } = self.journal.calls[call].clone();
        let Some(key) = key else { return };
        let caller_state = &mut self.caller_states[key];
        if outcome == Outcome::NotRun && caller_state.token == token {
            caller_state.token = offer;
        }
    }
}
