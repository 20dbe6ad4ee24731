//! What happens to things on their way.

use std::time::Duration;

use arbutus_core::request::{
    Attempt, Event, Method, Origin, Outcome, RequestHead, RequestId, UpstreamHead,
};

use crate::{
    flight::{Asker, Flight},
    journal::{Call, CallId, Life},
    world::{DEADLINE_MS, World},
};

impl World {
    pub(crate) fn duplicate(&mut self, which: usize) {
        if self.flights.is_empty() {
            return;
        }
        let flight = self.flights[which % self.flights.len()].clone();
        // A stream carries a request once; only what has a key is sent again by its sender.
        if let Flight::Request { call, .. } = flight
            && self.journal.calls[call].key.is_some()
        {
            self.deliver(flight, 0);
        }
    }

    pub(crate) fn lose(&mut self, which: usize, sent: bool) {
        if self.flights.is_empty() {
            return;
        }
        let at = which % self.flights.len();
        match self.flights[at].clone() {
            Flight::Answer { .. } | Flight::Reset { .. } => {
                self.flights.swap_remove(at);
            }
            Flight::Request {
                asker: Asker::Peer(from, attempt),
                call,
                ..
            } => {
                let read = self.journal.calls[call].key.is_none();
                if !sent && read {
                    self.flights.swap_remove(at);
                }
                self.upstream(from, attempt, Event::UpstreamFailed { attempt, sent });
            }
            Flight::PeerAnswer { to, attempt, .. } => {
                self.flights.swap_remove(at);
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

    pub(crate) fn deliver(&mut self, flight: Flight, how: u8) {
        match flight {
            Flight::Request { to, call, asker } => self.deliver_request(to, call, asker),
            Flight::Connect { life, attempt } => {
                let event = match how % 4 {
                    0 => Event::UpstreamFailed {
                        attempt,
                        sent: false,
                    },
                    _ => Event::Connected { attempt },
                };
                self.upstream(life, attempt, event);
            }
            Flight::AtBackend {
                life,
                attempt,
                call,
            } => {
                self.deliver_to_backend(life, attempt, call, how);
            }
            Flight::LateAnswer { life, attempt } => {
                self.respond(life, attempt, how.is_multiple_of(3));
            }
            Flight::Closing { life, attempt } => {
                self.upstream(life, attempt, Event::UpstreamClosed { attempt });
            }
            Flight::Answer {
                call,
                outcome,
                offer,
            } => self.deliver_answer(call, outcome, offer),
            Flight::PeerAnswer {
                to,
                attempt,
                head,
                whole,
            } => {
                self.upstream(to, attempt, Event::UpstreamHead { attempt, head });
                let end = if whole {
                    Event::UpstreamEnded { attempt }
                } else {
                    Event::UpstreamFailed {
                        attempt,
                        sent: true,
                    }
                };
                self.upstream(to, attempt, end);
            }
            Flight::Reset { to, request } => {
                if self.is_live(to) {
                    self.feed(to.place, Event::CallerCancelled { request });
                }
            }
        }
    }

    pub(crate) fn deliver_request(&mut self, to: usize, call: CallId, asker: Asker) {
        let flight = Flight::Request { to, call, asker };
        let Some(agent) = self.agents[to].as_mut() else {
            if let Asker::Peer(from, attempt) = asker {
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
            self.flights.push(flight);
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
        match asker {
            Asker::Caller => self.open_calls.push((agent.life, request)),
            Asker::Peer(..) => head = head.origin(Origin::Peer),
        }
        agent.requests.insert(request, (call, asker));
        let deadline = self.now + Duration::from_millis(DEADLINE_MS);
        self.journal.arrive(agent.life, request, deadline);
        self.feed(to, Event::Arrived { request, head });
    }

    pub(crate) fn deliver_to_backend(
        &mut self,
        life: Life,
        attempt: Attempt,
        call: CallId,
        how: u8,
    ) {
        match how % 8 {
            // It sheds the request.
            0 => {
                let head = UpstreamHead::new(503).outcome(Outcome::NotRun);
                self.upstream(life, attempt, Event::UpstreamHead { attempt, head });
            }
            // The connection proves broken before the first byte.
            1 => {
                let event = Event::UpstreamFailed {
                    attempt,
                    sent: false,
                };
                self.upstream(life, attempt, event);
            }
            // It breaks, and the backend server runs the request all the same, later.
            2 => {
                let event = Event::UpstreamFailed {
                    attempt,
                    sent: true,
                };
                self.flights.push(Flight::AtBackend {
                    life,
                    attempt,
                    call,
                });
                self.upstream(life, attempt, event);
            }
            // It runs, but the answer is late.
            3 => {
                self.journal.run(call);
                self.flights.push(Flight::LateAnswer { life, attempt });
            }
            // It runs and answers short.
            4 => {
                self.journal.run(call);
                self.respond(life, attempt, false);
            }
            _ => {
                self.journal.run(call);
                self.respond(life, attempt, true);
            }
        }
    }

    pub(crate) fn respond(&mut self, life: Life, attempt: Attempt, whole: bool) {
        let head = UpstreamHead::new(200);
        self.upstream(life, attempt, Event::UpstreamHead { attempt, head });
        let end = if whole {
            Event::UpstreamEnded { attempt }
        } else {
            Event::UpstreamFailed {
                attempt,
                sent: true,
            }
        };
        self.upstream(life, attempt, end);
    }

    /// A caller takes the offered binding only if its current one was told not to have run.
    pub(crate) fn deliver_answer(&mut self, call: CallId, outcome: Outcome, offer: Option<String>) {
        let Call { key, token } = self.journal.calls[call].clone();
        let Some(key) = key else { return };
        let hold = &mut self.holds[key];
        if outcome == Outcome::NotRun && hold.token == token {
            hold.token = offer;
        }
    }
}
