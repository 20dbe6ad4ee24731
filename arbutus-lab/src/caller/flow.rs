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

type Requests = SendRequest<h3_quinn::OpenStreams, Bytes>;
type Driver = h3::client::Connection<h3_quinn::Connection, Bytes>;

/// One flow of a session, and what is known of it.
pub(super) struct Flow {
    pub(super) id: Arc<str>,
    /// The way to send requests; taken away when the flow is left for another, so that it ends with
    /// its last request.
    requests: Mutex<Option<Requests>>,
    /// Whether new requests belong on another flow.
    leaving: AtomicBool,
    in_progress: AtomicUsize,
    backend: Mutex<Option<Arc<str>>>,
    binding: Mutex<Option<Binding>>,
}

/// A token that binds requests that may not be repeated to where they run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Binding {
    pub(super) token: Arc<str>,
    /// The flow on which it came.
    pub(super) flow: Arc<str>,
}

/// Counts a request as in progress for as long as it lives.
pub(super) struct InProgress(Arc<Flow>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Flow {
    /// Makes a flow of an open connection and starts to watch over it.
    pub(super) fn start(
        record: FlowRecord,
        requests: Requests,
        driver: Driver,
        journal: SharedJournal,
    ) -> Arc<Self> {
        let flow = Arc::new(Self {
            id: Arc::clone(&record.id),
            requests: Mutex::new(Some(requests)),
            leaving: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            backend: Mutex::new(None),
            binding: Mutex::new(None),
        });
        tokio::spawn(Arc::clone(&flow).watch(record, driver, journal));
        flow
    }

    /// The way to send a request, unless the flow is being left.
    pub(super) fn requests(self: &Arc<Self>) -> Option<(Requests, InProgress)> {
        if self.leaving.load(Ordering::Relaxed) {
            return None;
        }
        let requests = self.requests.lock().clone()?;
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        Some((requests, InProgress(Arc::clone(self))))
    }

    /// Lets no more requests on the flow; it ends with those in progress.
    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.requests.lock().take();
    }

    /// Notes which backend server answers on the flow.
    pub(super) fn answered_by(&self, backend: &Arc<str>) {
        *self.backend.lock() = Some(Arc::clone(backend));
    }

    /// The backend server that has answered on the flow.
    pub(super) fn backend(&self) -> Option<Arc<str>> {
        self.backend.lock().clone()
    }

    /// The binding for new keys on this flow.
    pub(super) fn binding(&self) -> Option<Binding> {
        self.binding.lock().clone()
    }

    /// Keeps a new binding.
    pub(super) fn set_binding(&self, token: &str) {
        *self.binding.lock() = Some(Binding {
            token: Arc::from(token),
            flow: Arc::clone(&self.id),
        });
    }

    /// Drops the binding, so that the next new key asks for another.
    pub(super) fn forget_binding(&self) {
        self.binding.lock().take();
    }

    async fn watch(
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
        record.end = self.judge(&error);
        journal.lock().flows[index] = record;
        self.leave();
    }

    fn judge(&self, error: &ConnectionError) -> FlowEnd {
        let idle = self.in_progress.load(Ordering::Relaxed) == 0;
        if error.is_h3_no_error() && idle {
            FlowEnd::Graceful
        } else {
            FlowEnd::Broken
        }
    }
}
