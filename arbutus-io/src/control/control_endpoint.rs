use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use arbutus_core::keys::KeyRing;
use arbutus_settings::tls::ControlTls;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use indexmap::IndexSet;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::{
    ControlError, ControlEvent,
    connection_table::ConnectionTable,
    counting_socket::CountingSocket,
    hand_over_links::HandOverLinks,
    tls_config::{self, ALPN_CONTROL, ALPN_HANDOVER, CONTROL_SERVER_NAME},
};
use crate::{metrics::ControlMetrics, reset_key, udp};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a process that could not be reached is not tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const EVENT_QUEUE: usize = 4_096;
/// Longest message on a stream, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// The process's end of all control connections.
///
/// Lock order: `connecting`, then the connection table.
#[derive(Debug, Clone)]
pub struct ControlEndpoint {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    endpoint: quinn::Endpoint,
    messages: quinn::ClientConfig,
    hand_over: quinn::ClientConfig,
    connections: ConnectionTable,
    hand_overs: HandOverLinks,
    /// Addresses that a connection is being opened to, or was not lately.
    connecting: Mutex<IndexSet<SocketAddrV4>>,
    events: mpsc::Sender<ControlEvent>,
}

impl ControlEndpoint {
    /// Opens the endpoint at `address` and starts taking connections.
    ///
    /// # Errors
    ///
    /// Fails where the certificates do not fit or the address cannot be bound.
    pub fn open(
        address: SocketAddrV4,
        tls: &ControlTls,
        keys: &KeyRing,
        metrics: &ControlMetrics,
    ) -> Result<(Self, mpsc::Receiver<ControlEvent>), Report<ControlError>> {
        let runtime = Arc::new(quinn::TokioRuntime);
        let socket = udp::bind(address).change_context(ControlError::Bind)?;
        let socket =
            CountingSocket::wrap(socket, &*runtime, metrics).change_context(ControlError::Bind)?;
        let endpoint = quinn::Endpoint::new_with_abstract_socket(
            quinn::EndpointConfig::new(reset_key::of(keys.current())),
            Some(tls_config::server(tls)?),
            Arc::new(socket),
            runtime,
        )
        .change_context(ControlError::Bind)?;
        let (events, rx) = mpsc::channel(EVENT_QUEUE);
        let shared = Arc::new(Shared {
            endpoint,
            messages: tls_config::client(tls, ALPN_CONTROL)?,
            hand_over: tls_config::client(tls, ALPN_HANDOVER)?,
            connections: ConnectionTable::default(),
            hand_overs: HandOverLinks::default(),
            connecting: Mutex::default(),
            events,
        });
        tokio::spawn(accept(shared.clone()));
        Ok((Self { shared }, rx))
    }

    /// Sends `bytes` to the process at `address`; what cannot be sent is lost.
    ///
    /// A message that fits a datagram goes as one, a longer one on a stream of its own.
    pub fn send(&self, address: SocketAddrV4, bytes: Bytes) {
        if let Some(connection) = self.shared.connections.get(address) {
            send_on(&connection, bytes);
            return;
        }
        if self.shared.connecting.lock().insert(address) {
            tokio::spawn(connect_and_send(self.shared.clone(), address, bytes));
        }
    }

    /// A connection for handing requests over to the process at `address`.
    ///
    /// Callers share one attempt, and a process that was not reached is left alone for a pause.
    ///
    /// # Errors
    ///
    /// Fails where the process cannot be reached; nothing was sent then.
    pub async fn hand_over(
        &self,
        address: SocketAddrV4,
    ) -> Result<quinn::Connection, quinn::ConnectionError> {
        let connect = connect(&self.shared, &self.shared.hand_over, address);
        self.shared.hand_overs.get(address, connect).await
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.shared.endpoint.close(0_u32.into(), b"stop");
    }

    /// Waits until all connections are closed.
    pub async fn wait_idle(&self) {
        self.shared.endpoint.wait_idle().await;
    }
}

async fn connect(
    shared: &Shared,
    cfg: &quinn::ClientConfig,
    address: SocketAddrV4,
) -> Result<quinn::Connection, quinn::ConnectionError> {
    let connecting = shared
        .endpoint
        .connect_with(cfg.clone(), SocketAddr::V4(address), CONTROL_SERVER_NAME)
        .map_err(|err| {
            tracing::warn!(%err, %address, "control_connect_refused");
            quinn::ConnectionError::LocallyClosed
        })?;
    tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .unwrap_or(Err(quinn::ConnectionError::TimedOut))
}

async fn connect_and_send(shared: Arc<Shared>, address: SocketAddrV4, bytes: Bytes) {
    match connect(&shared, &shared.messages, address).await {
        Ok(connection) => {
            shared.connecting.lock().swap_remove(&address);
            shared.connections.insert(address, connection.clone());
            send_on(&connection, bytes);
            read_messages(shared, address, connection).await;
        }
        Err(err) => {
            tracing::debug!(%err, %address, "control_connect_failed");
            let event = ControlEvent::Unreachable { address };
            let _ = shared.events.send(event).await;
            tokio::time::sleep(RETRY_PAUSE).await;
            shared.connecting.lock().swap_remove(&address);
        }
    }
}

async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        tokio::spawn(take_incoming(shared.clone(), incoming));
    }
}

async fn take_incoming(shared: Arc<Shared>, incoming: quinn::Incoming) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(err) => {
            tracing::info!(%err, "control_handshake_failed");
            return;
        }
    };
    let SocketAddr::V4(address) = connection.remote_address() else {
        return;
    };
    match protocol(&connection).as_deref() {
        Some(ALPN_CONTROL) => {
            shared.connections.insert(address, connection.clone());
            read_messages(shared, address, connection).await;
        }
        Some(ALPN_HANDOVER) => {
            let _ = shared
                .events
                .send(ControlEvent::HandOver { connection })
                .await;
        }
        _ => connection.close(1_u32.into(), b"unknown protocol"),
    }
}

fn protocol(connection: &quinn::Connection) -> Option<Vec<u8>> {
    let data = connection.handshake_data()?;
    let data = data
        .downcast::<quinn::crypto::rustls::HandshakeData>()
        .ok()?;
    data.protocol
}

async fn read_messages(shared: Arc<Shared>, from: SocketAddrV4, connection: quinn::Connection) {
    loop {
        let bytes = tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => bytes,
                Err(_) => break,
            },
            stream = connection.accept_uni() => match stream {
                Ok(stream) => {
                    tokio::spawn(read_stream(shared.clone(), from, stream));
                    continue;
                }
                Err(_) => break,
            },
        };
        if shared
            .events
            .send(ControlEvent::Message { from, bytes })
            .await
            .is_err()
        {
            break;
        }
    }
    shared.connections.remove(from, &connection);
}

async fn read_stream(shared: Arc<Shared>, from: SocketAddrV4, mut stream: quinn::RecvStream) {
    match stream.read_to_end(MAX_MESSAGE_BYTES).await {
        Ok(bytes) => {
            let bytes = Bytes::from(bytes);
            let _ = shared
                .events
                .send(ControlEvent::Message { from, bytes })
                .await;
        }
        Err(err) => tracing::debug!(%err, %from, "control_stream_failed"),
    }
}

fn send_on(connection: &quinn::Connection, bytes: Bytes) {
    let fits = connection
        .max_datagram_size()
        .is_some_and(|max| bytes.len() <= max);
    if fits {
        if let Err(err) = connection.send_datagram(bytes) {
            tracing::debug!(%err, "control_datagram_failed");
        }
        return;
    }
    let connection = connection.clone();
    tokio::spawn(async move {
        if let Err(err) = send_stream(&connection, &bytes).await {
            tracing::debug!(%err, "control_stream_failed");
        }
    });
}

async fn send_stream(
    connection: &quinn::Connection,
    bytes: &[u8],
) -> Result<(), quinn::WriteError> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(bytes).await?;
    let _ = stream.finish();
    Ok(())
}
