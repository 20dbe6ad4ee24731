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
    flow::{Flow, InProgressGuard},
};
use crate::{clock, error::LabError};

type RequestSender = h3::client::SendRequest<h3_quinn::OpenStreams, Bytes>;

/// Limit on opening a flow.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The socket and the current flow of one caller.
pub(super) struct Session {
    pub(super) name: Arc<str>,
    pub(super) options: Arc<CallerOptions>,
    pub(super) journal: SharedJournal,
    endpoint: quinn::Endpoint,
    server_name: String,
    current_flow: tokio::sync::Mutex<Option<Arc<Flow>>>,
    next_flow_number: AtomicU32,
}

/// A flow selected for one request.
pub(super) struct SelectedFlow {
    pub(super) flow: Arc<Flow>,
    pub(super) sender: RequestSender,
    pub(super) in_progress: InProgressGuard,
}

impl Session {
    /// Creates a session with a socket of its own and no flow yet.
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
            current_flow: tokio::sync::Mutex::new(None),
            next_flow_number: AtomicU32::new(0),
        })
    }

    /// Selects the current flow, or opens a new one if the current flow accepts no requests.
    pub(super) async fn select_flow(&self) -> Result<SelectedFlow, Report<LabError>> {
        let mut current_flow = self.current_flow.lock().await;
        if let Some(flow) = &*current_flow
            && let Some((sender, in_progress)) = flow.begin_request()
        {
            let flow = Arc::clone(flow);
            return Ok(SelectedFlow {
                flow,
                sender,
                in_progress,
            });
        }
        let flow = self.open_flow().await?;
        *current_flow = Some(Arc::clone(&flow));
        drop(current_flow);
        let (sender, in_progress) = flow
            .begin_request()
            .ok_or_else(|| Report::new(LabError::NotReady))?;
        Ok(SelectedFlow {
            flow,
            sender,
            in_progress,
        })
    }

    /// Closes the current flow and waits until its requests are done.
    pub(super) async fn close(&self) {
        if let Some(flow) = self.current_flow.lock().await.take() {
            flow.retire();
        }
        self.endpoint.wait_idle().await;
    }

    async fn open_flow(&self) -> Result<Arc<Flow>, Report<LabError>> {
        let number = self.next_flow_number.fetch_add(1, Ordering::Relaxed);
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
            Ok((driver, sender)) => {
                let journal = Arc::clone(&self.journal);
                Ok(Flow::start(record, sender, driver, journal))
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
            RequestSender,
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
