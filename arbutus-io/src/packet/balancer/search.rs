use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::{
    packet::{FlowId, Message, RelayHeader, ResetCause, SearchAnswer, SearchStep},
    time::Timestamp,
};

use super::PacketBalancer;
use crate::{clock, packet::PacketCodec};

/// The search for agents that hold open flows.
impl<C: PacketCodec> PacketBalancer<C> {
    /// Returns whether a search is in progress, and the time until the next queries are due.
    pub(super) fn search_schedule(&self) -> (bool, Duration) {
        let state = self.state.lock();
        let due = state.steering.queries_due();
        let wait = due.map_or(Self::TICK_INTERVAL, |it| it.since(clock::now()));
        (state.steering.is_searching(), wait)
    }

    /// Sends the queries that are due.
    pub(super) fn send_queries(&self, now: Timestamp) {
        let batches = self.state.lock().steering.take_queries(now);
        for batch in batches {
            self.metrics.queries.inc();
            let query = Message::Query {
                balancer: self.settings.balancer,
                number: batch.number,
                questions: batch.questions,
            };
            self.send(&query.encode(&[]), batch.agent);
        }
    }

    pub(super) fn on_answers(
        &self,
        agent: SocketAddrV4,
        number: u32,
        answers: &[SearchAnswer],
        now: Timestamp,
    ) {
        let mut state = self.state.lock();
        let steps = state.steering.on_answers(agent, number, answers, now);
        drop(state);
        for (flow, step) in steps {
            self.execute_step(flow, step, now);
        }
    }

    pub(super) fn on_denied(&self, agent: SocketAddrV4, flow: FlowId, now: Timestamp) {
        let mut state = self.state.lock();
        let denies = SearchAnswer::Denies;
        let step = state.steering.on_answer(agent, flow, denies, now);
        drop(state);
        self.execute_step(flow, step, now);
    }

    pub(super) fn execute_step(&self, flow: FlowId, step: SearchStep, now: Timestamp) {
        match step {
            SearchStep::Wait => {}
            SearchStep::Ask(_) => self.send_queries(now),
            SearchStep::Relay { headers, packets } => {
                self.log_found(&flow, &headers, now);
                for header in headers {
                    self.relay(header, &packets);
                }
            }
            SearchStep::Reset {
                flow,
                caller_has,
                denied,
            } => {
                self.metrics.resets.inc();
                let cause = ResetCause::NobodyHolds.name();
                tracing::info!(%flow, cause, denied, "flow_reset");
                let reset = self.codec.encode_reset(&flow, caller_has);
                self.send(&reset, self.codec.caller_address(&flow));
            }
            SearchStep::GiveUp { asked, missing } => {
                self.count_drop("not-found");
                if self.state.lock().searched_log_limiter.allow(now) {
                    tracing::info!(%flow, asked, ?missing, "flow_not_found");
                }
            }
        }
    }

    fn relay(&self, header: RelayHeader, packets: &[Vec<u8>]) {
        let Some(agent) = header.target() else {
            return;
        };
        let message = Message::Relay(header);
        for packet in packets {
            self.metrics.relayed.inc();
            self.send(&message.encode(packet), agent);
        }
    }

    pub(super) fn expire_searches(&self, now: Timestamp) {
        let overdue = self.state.lock().steering.expire_searches(now);
        for (flow, step) in overdue {
            self.execute_step(flow, step, now);
        }
    }
}
