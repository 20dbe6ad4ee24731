use std::{sync::Arc, time::Duration};

use arbutus_core::request::Origin;
use bytes::Bytes;
use tokio::{sync::watch, time::Instant};

use super::{caller_request, flow_handle::FlowHandle, request_task::Services};

/// How long the peer may take to close a connection whose requests have all ended.
const CLOSE_GRACE: Duration = Duration::from_secs(3);
/// How often a stopping connection is asked for late requests.
const LATE_REQUEST_POLL: Duration = Duration::from_millis(20);
/// How long a connection without requests stays open after its GOAWAY.
const IDLE_AFTER_GOAWAY: Duration = Duration::from_secs(30);

type H3Connection = h3::server::Connection<h3_quinn::Connection, Bytes>;

/// One HTTP/3 connection of a caller, or of a peer that hands requests over.
pub(super) struct CallerConnection {
    /// The connection.
    pub(super) quic: quinn::Connection,
    /// Who is at the other end.
    pub(super) origin: Origin,
    /// What serves its requests.
    pub(super) services: Services,
    /// Turns true when the agent stops; false again where that is taken back.
    pub(super) stopping: watch::Receiver<bool>,
    /// The caller's flow; `None` for a peer's connection.
    pub(super) flow: Option<FlowHandle>,
}

impl CallerConnection {
    /// Serves requests until the connection ends.
    ///
    /// When the agent stops, the peer is told by GOAWAY, and what it has sent is still served.
    pub(super) async fn serve(mut self) {
        let quic = h3_quinn::Connection::new(self.quic.clone());
        let mut h3 = match h3::server::builder().build(quic).await {
            Ok(h3) => h3,
            Err(err) => {
                tracing::debug!(%err, "http_setup_failed");
                return;
            }
        };
        // Held by each request, so that its count tells how many are open.
        let open = Arc::new(());
        let serving = self.accept_until_stop(&mut h3, &open).await;
        if serving {
            self.accept_after_goaway(&mut h3, &open).await;
        }
        // Closing at once would cut off what the peer has not acknowledged yet.
        let _ = tokio::time::timeout(CLOSE_GRACE, self.quic.closed()).await;
    }

    /// Takes requests; false where the connection has ended, true where the agent stops.
    async fn accept_until_stop(&mut self, h3: &mut H3Connection, open: &Arc<()>) -> bool {
        loop {
            tokio::select! {
                accepted = h3.accept() => match accepted {
                    Ok(Some(resolver)) => self.spawn(resolver, open),
                    Ok(None) => return false,
                    Err(err) => {
                        tracing::debug!(%err, "connection_ended");
                        return false;
                    }
                },
                () = wait_for_stop(&mut self.stopping) => return true,
            }
        }
    }

    /// Tells the peer to go, and takes what crosses that word until the peer is gone or idle.
    async fn accept_after_goaway(&mut self, h3: &mut H3Connection, open: &Arc<()>) {
        if let Err(err) = h3.shutdown(0).await {
            tracing::debug!(%err, "goaway_failed");
            return;
        }
        let mut idle_since = Instant::now();
        while self.quic.close_reason().is_none() && idle_since.elapsed() < IDLE_AFTER_GOAWAY {
            if Arc::strong_count(open) > 1 {
                idle_since = Instant::now();
            }
            match tokio::time::timeout(LATE_REQUEST_POLL, h3.accept()).await {
                Ok(Ok(Some(resolver))) => self.spawn(resolver, open),
                // The library says so each time a late request has been rejected.
                Ok(Ok(None)) => tokio::time::sleep(LATE_REQUEST_POLL).await,
                Ok(Err(_)) => return,
                Err(_) => {}
            }
        }
    }

    fn spawn(&self, resolver: caller_request::Resolver, open: &Arc<()>) {
        if let Some(flow) = &self.flow {
            flow.requested();
        }
        let request = caller_request::CallerRequest {
            origin: self.origin,
            services: self.services.clone(),
            connection: self.quic.clone(),
            flow: self.flow.as_ref().map(FlowHandle::to_string),
        };
        let open = open.clone();
        tokio::spawn(async move {
            if let Err(err) = request.serve(resolver).await {
                tracing::debug!(%err, "request_not_read");
            }
            drop(open);
        });
    }
}

async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    if stopping.wait_for(|stopping| *stopping).await.is_err() {
        std::future::pending::<()>().await;
    }
}
