use std::{sync::Arc, time::Duration};

use arbutus_core::request::Origin;
use bytes::Bytes;
use tokio::{sync::watch, time::Instant};

use super::{caller_request, flow_handle::FlowHandle, request_task::RequestContext};

/// Maximum time that the peer may take to close a connection whose requests have all ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a draining connection is polled for late requests.
const LATE_REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without open requests after which a connection that has sent a GOAWAY is closed.
const IDLE_TIMEOUT_AFTER_GOAWAY: Duration = Duration::from_secs(30);

type H3Connection = h3::server::Connection<h3_quinn::Connection, Bytes>;

/// An HTTP/3 connection from a caller, or from a peer that hands requests over.
pub(super) struct CallerConnection {
    /// The QUIC connection.
    pub(super) quic: quinn::Connection,
    /// Whether the other end is a caller or a peer.
    pub(super) origin: Origin,
    /// Shared state for serving requests.
    pub(super) cx: RequestContext,
    /// True while the agent drains or stops.
    pub(super) draining: watch::Receiver<bool>,
    /// The caller's flow; `None` for a peer's connection.
    pub(super) flow: Option<FlowHandle>,
}

impl CallerConnection {
    /// Serves requests until the connection ends.
    ///
    /// When the agent drains, the connection sends a GOAWAY; requests that the peer has already
    /// sent are still served.
    pub(super) async fn serve(mut self) {
        let quic = h3_quinn::Connection::new(self.quic.clone());
        let mut h3 = match h3::server::builder().build(quic).await {
            Ok(h3) => h3,
            Err(err) => {
                tracing::debug!(%err, "http_setup_failed");
                return;
            }
        };
        // Each open request holds a clone, so the reference count is one more than their number.
        let open_requests = Arc::new(());
        let is_draining = self.accept_until_drain(&mut h3, &open_requests).await;
        if is_draining {
            self.accept_after_goaway(&mut h3, &open_requests).await;
        }
        // Closing at once would discard data that the peer has not acknowledged yet.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.quic.closed()).await;
    }

    /// Accepts requests until the agent drains.
    ///
    /// Returns false if the connection ended before that.
    async fn accept_until_drain(&mut self, h3: &mut H3Connection, open_requests: &Arc<()>) -> bool {
        loop {
            tokio::select! {
                accepted = h3.accept() => match accepted {
                    Ok(Some(resolver)) => self.spawn(resolver, open_requests),
                    Ok(None) => return false,
                    Err(err) => {
                        tracing::debug!(%err, "connection_ended");
                        return false;
                    }
                },
                () = wait_for_drain(&mut self.draining) => return true,
            }
        }
    }

    /// Sends a GOAWAY and accepts late requests until the connection has closed or is idle.
    async fn accept_after_goaway(&mut self, h3: &mut H3Connection, open_requests: &Arc<()>) {
        if let Err(err) = h3.shutdown(0).await {
            tracing::debug!(%err, "goaway_failed");
            return;
        }
        let mut idle_since = Instant::now();
        while self.quic.close_reason().is_none() && idle_since.elapsed() < IDLE_TIMEOUT_AFTER_GOAWAY
        {
            if Arc::strong_count(open_requests) > 1 {
                idle_since = Instant::now();
            }
            match tokio::time::timeout(LATE_REQUEST_POLL_INTERVAL, h3.accept()).await {
                Ok(Ok(Some(resolver))) => self.spawn(resolver, open_requests),
                // `accept` returns this immediately once it has rejected a late request.
                Ok(Ok(None)) => tokio::time::sleep(LATE_REQUEST_POLL_INTERVAL).await,
                Ok(Err(_)) => return,
                Err(_) => {}
            }
        }
    }

    fn spawn(&self, resolver: caller_request::Resolver, open_requests: &Arc<()>) {
        if let Some(flow) = &self.flow {
            flow.on_request();
        }
        let request = caller_request::CallerRequest {
            origin: self.origin,
            cx: self.cx.clone(),
            connection: self.quic.clone(),
            flow: self.flow.as_ref().map(FlowHandle::to_string),
        };
        let open_requests = open_requests.clone();
        tokio::spawn(async move {
            if let Err(err) = request.serve(resolver).await {
                tracing::debug!(%err, "request_not_read");
            }
            drop(open_requests);
        });
    }
}

async fn wait_for_drain(draining: &mut watch::Receiver<bool>) {
    if draining.wait_for(|draining| *draining).await.is_err() {
        std::future::pending::<()>().await;
    }
}
