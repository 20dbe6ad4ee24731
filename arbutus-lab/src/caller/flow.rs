use std::{
    future,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use h3::{client::SendRequest, error::ConnectionError};
use parking_lot::Mutex;

use super::{FlowEnd, FlowRecord, caller_journal::SharedJournal};
use crate::clock;

type RequestSender = SendRequest<h3_quinn::OpenStreams, Bytes>;
type Driver = h3::client::Connection<h3_quinn::Connection, Bytes>;

/// A flow of a session and its state.
pub(super) struct Flow {
    pub(super) id: Arc<str>,
    /// The request sender; dropped when the flow is retired, so that the flow closes after its last
    /// request.
    sender: Mutex<Option<RequestSender>>,
    /// Whether new requests must use another flow.
    retired: AtomicBool,
    in_progress: AtomicUsize,
    backend: Mutex<Option<Arc<str>>>,
    binding: Mutex<Option<Binding>>,
}

/// A token that binds requests that may run only once to the place where they run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Binding {
    pub(super) token: Arc<str>,
    /// The ID of the flow on which the token was received.
    pub(super) flow: Arc<str>,
}

/// Counts a request as in progress until it is dropped.
pub(super) struct InProgressGuard(Arc<Flow>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Flow {
    /// Creates a flow from an open connection, and records its end in a background task.
    pub(super) fn start(
        record: FlowRecord,
        sender: RequestSender,
        driver: Driver,
        journal: SharedJournal,
    ) -> Arc<Self> {
        let flow = Arc::new(Self {
            id: Arc::clone(&record.id),
            sender: Mutex::new(Some(sender)),
            retired: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            backend: Mutex::new(None),
            binding: Mutex::new(None),
        });
        tokio::spawn(Arc::clone(&flow).record_until_closed(record, driver, journal));
        flow
    }

    /// Returns the sender for one request, or `None` if the flow is retired.
    pub(super) fn begin_request(self: &Arc<Self>) -> Option<(RequestSender, InProgressGuard)> {
        if self.retired.load(Ordering::Relaxed) {
            return None;
        }
        let sender = self.sender.lock().clone()?;
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        Some((sender, InProgressGuard(Arc::clone(self))))
    }

    /// Accepts no more requests on the flow, which closes after those in progress.
    pub(super) fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
        self.sender.lock().take();
    }

    /// Records the backend server that has answered on the flow.
    pub(super) fn set_backend(&self, backend: &Arc<str>) {
        *self.backend.lock() = Some(Arc::clone(backend));
    }

    /// Returns the backend server that answered last on the flow, if any has.
    pub(super) fn backend(&self) -> Option<Arc<str>> {
        self.backend.lock().clone()
    }

    /// Returns the binding for new idempotency keys on this flow, if there is one.
    pub(super) fn binding(&self) -> Option<Binding> {
        self.binding.lock().clone()
    }

    /// Stores a new binding.
    pub(super) fn set_binding(&self, token: &str) {
        *self.binding.lock() = Some(Binding {
            token: Arc::from(token),
            flow: Arc::clone(&self.id),
        });
    }

    /// Removes the binding, so that the next new idempotency key requests another.
    pub(super) fn clear_binding(&self) {
        self.binding.lock().take();
    }

    /// Drives the connection until it closes, and records the flow in the journal.
    async fn record_until_closed(
        self: Arc<Self>,
        mut record: FlowRecord,
        mut driver: Driver,
        journal: SharedJournal,
    ) {
        let index = {
            let mut journal = journal.lock();
            journal.flows.push(record.clone());
            journal.flows.len() - 1
        };
        let error = future::poll_fn(|cx| driver.poll_close(cx)).await;
        record.closed_us = Some(clock::now_micros());
        record.backend = self.backend();
        record.reason = error.to_string();
        record.end = self.classify_end(&error);
        journal.lock().flows[index] = record;
        self.retire();
    }

    fn classify_end(&self, error: &ConnectionError) -> FlowEnd {
        let is_idle = self.in_progress.load(Ordering::Relaxed) == 0;
        if error.is_h3_no_error() && is_idle {
            FlowEnd::Graceful
        } else {
            FlowEnd::Broken
        }
    }
}
