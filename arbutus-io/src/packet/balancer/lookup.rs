use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::{
    packet::{FlowId, LookupAnswer, LookupStep, Message, RelayHeader, ResetCause},
    time::Timestamp,
};

use tokio::time;

use super::{PacketBalancer, age_ms};
use crate::{clock, packet::PacketCodec};

/// Lookups of the agents that own open flows.
impl<C: PacketCodec> PacketBalancer<C> {
    /// Returns whether a lookup is in progress, and the time until the next queries are due.
    pub(super) fn lookup_schedule(&self) -> (bool, Duration) {
        let state = self.state.lock();
        let due = state.steering.next_queries_at();
        let wait = due.map_or(Self::TICK_INTERVAL, |it| it.since(clock::now()));
        (state.steering.has_active_lookups(), wait)
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
        answers: &[LookupAnswer],
        now: Timestamp,
    ) {
        let mut state = self.state.lock();
        let steps = state.steering.on_answers(agent, number, answers, now);
        drop(state);
        for (flow, step) in steps {
            self.execute_step(flow, step, now);
        }
        self.request_view_check(now);
    }

    pub(super) fn on_flow_not_owned(&self, agent: SocketAddrV4, flow: FlowId, now: Timestamp) {
        let mut state = self.state.lock();
        let answer = LookupAnswer::NotOwned;
        let step = state.steering.on_answer(agent, flow, answer, now);
        drop(state);
        self.execute_step(flow, step, now);
        self.request_view_check(now);
    }

    pub(super) fn execute_step(&self, flow: FlowId, step: LookupStep, now: Timestamp) {
        match step {
            LookupStep::Wait => {}
            LookupStep::Query(_) => self.send_queries(now),
            LookupStep::Relay { headers, packets } => {
                self.log_found(&flow, &headers, now);
                for header in headers {
                    self.relay(header, &packets);
                }
            }
            LookupStep::Reset {
                flow,
                acknowledged,
                denied,
                duration,
                view_age,
            } => {
                self.metrics.resets.inc();
                let cause = ResetCause::NobodyHolds.name();
                let (searched_ms, view_age_ms) = (age_ms(Some(duration)), age_ms(Some(view_age)));
                tracing::info!(%flow, cause, denied, searched_ms, view_age_ms, "flow_reset");
                let reset = self.codec.encode_reset(&flow, acknowledged);
                self.send(&reset, self.codec.caller_address(&flow));
            }
            LookupStep::Abandon { asked, missing } => {
                self.count_drop("not-found");
                if self.state.lock().lookup_log_limiter.allow(now) {
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

    pub(super) fn expire_lookups(&self, now: Timestamp) {
        let overdue = self.state.lock().steering.expire_lookups(now);
        for (flow, step) in overdue {
            self.execute_step(flow, step, now);
        }
        self.request_view_check(now);
    }

    /// Asks the store and the seeds for agents outside the view if a lookup waits for that.
    fn request_view_check(&self, now: Timestamp) {
        let mut state = self.state.lock();
        let check_store = state.steering.store_check_due().is_some();
        let queries = state.steering.take_seed_queries(now);
        drop(state);
        if check_store {
            self.store_check_requested.notify_one();
        }
        if let Some((query, seeds)) = queries {
            self.metrics.seed_queries.inc();
            let query = query.encode(&[]);
            for seed in seeds {
                self.send(&query, seed);
            }
        }
    }

    /// Waits until a lookup needs to know which agents the store lists now.
    pub async fn store_check_wanted(&self) {
        loop {
            let now = clock::now();
            let due = self.state.lock().steering.store_check_due();
            match due {
                Some(at) if at <= now => return,
                Some(at) => time::sleep(at.since(now)).await,
                None => self.store_check_requested.notified().await,
            }
        }
    }

    /// Records that the store is asked now which agents it lists, and returns the time.
    pub fn begin_store_check(&self) -> Timestamp {
        let now = clock::now();
        self.state.lock().steering.on_store_check(now);
        self.metrics.store_checks.inc();
        now
    }
}
