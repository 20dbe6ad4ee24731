use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use tokio::time;

use super::{
    CallerOptions, FlowEnd, FlowRecord,
    caller_journal::SharedJournal,
    flow::{Flow, InProgress},
};
use crate::{clock, error::LabError};

type Requests = h3::client::SendRequest<h3_quinn::OpenStreams, Bytes>;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// One caller: its socket and its present flow.
pub(super) struct Session {
    pub(super) name: Arc<str>,
    pub(super) options: Arc<CallerOptions>,
    pub(super) journal: SharedJournal,
    endpoint: quinn::Endpoint,
    server_name: String,
    present: tokio::sync::Mutex<Option<Arc<Flow>>>,
    opened: AtomicU32,
}

/// A flow chosen for one request.
pub(super) struct Chosen {
    pub(super) flow: Arc<Flow>,
    pub(super) requests: Requests,
    pub(super) in_progress: InProgress,
}

impl Session {
    /// Makes a caller with a socket of its own and no flow yet.
    pub(super) fn new(
        number: u32,
        options: &Arc<CallerOptions>,
        config: &quinn::ClientConfig,
        journal: &SharedJournal,
    ) -> Result<Self, Report<LabError>> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut endpoint = quinn::Endpoint::client(any).change_context(LabError::Socket)?;
        endpoint.set_default_client_config(config.clone());
        Ok(Self {
            name: Arc::from(format!("{}-c{number}", options.label)),
            options: Arc::clone(options),
            journal: Arc::clone(journal),
            endpoint,
            server_name: format!("{}.arbutus.internal", options.service),
            present: tokio::sync::Mutex::new(None),
            opened: AtomicU32::new(0),
        })
    }

    /// The present flow, or a new one where there is none that takes requests.
    pub(super) async fn choose(&self) -> Result<Chosen, Report<LabError>> {
        let mut present = self.present.lock().await;
        if let Some(flow) = &*present
            && let Some((requests, in_progress)) = flow.requests()
        {
            let flow = Arc::clone(flow);
            return Ok(Chosen {
                flow,
                requests,
                in_progress,
            });
        }
        let flow = self.open().await?;
        *present = Some(Arc::clone(&flow));
        drop(present);
        let (requests, in_progress) = flow
            .requests()
            .ok_or_else(|| Report::new(LabError::NotReady))?;
        Ok(Chosen {
            flow,
            requests,
            in_progress,
        })
    }

    /// Ends the present flow as a caller does that has no more to ask.
    pub(super) async fn finish(&self) {
        if let Some(flow) = self.present.lock().await.take() {
            flow.leave();
        }
        self.endpoint.wait_idle().await;
    }

    async fn open(&self) -> Result<Arc<Flow>, Report<LabError>> {
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        let mut record = FlowRecord {
            id: Arc::from(format!("{}-f{number}", self.name)),
            service: Arc::clone(&self.options.service),
            opened_us: clock::now_micros(),
            closed_us: None,
            backend: None,
            end: FlowEnd::Open,
            reason: String::new(),
        };
        let connected = time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        let connected = connected.change_context(LabError::Socket).flatten();
        match connected {
            Ok((driver, requests)) => {
                let journal = Arc::clone(&self.journal);
                Ok(Flow::start(record, requests, driver, journal))
            }
            Err(error) => {
                record.closed_us = Some(clock::now_micros());
                record.end = FlowEnd::NeverOpened;
                record.reason = format!("{error:?}");
                self.journal.lock().flows.push(record);
                Err(error)
            }
        }
    }

    async fn connect(
        &self,
    ) -> Result<
        (
            h3::client::Connection<h3_quinn::Connection, Bytes>,
            Requests,
        ),
        Report<LabError>,
    > {
        let target = SocketAddr::V4(self.options.target);
        let connection = self
            .endpoint
            .connect(target, &self.server_name)
            .change_context(LabError::Socket)?
            .await
            .change_context(LabError::Socket)?;
        h3::client::new(h3_quinn::Connection::new(connection))
            .await
            .change_context(LabError::Socket)
    }
}
