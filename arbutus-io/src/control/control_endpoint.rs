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
    hand_over_connections::HandOverConnections,
    tls_config::{self, ALPN_CONTROL, ALPN_HANDOVER, CONTROL_SERVER_NAME},
};
use crate::{metrics::ControlMetrics, reset_key, udp};

/// Maximum time to open a connection, handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after a failed connection attempt during which messages to the address are dropped.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Capacity of the queue of control events.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Maximum length of a message received on a stream, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// The process's QUIC endpoint for control connections.
///
/// Lock order: `connecting`, then the connection table. Clones share the endpoint.
#[derive(Debug, Clone)]
pub struct ControlEndpoint {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    endpoint: quinn::Endpoint,
    /// Configuration of connections for control messages.
    message_config: quinn::ClientConfig,
    /// Configuration of connections for handing requests over.
    hand_over_config: quinn::ClientConfig,
    connections: ConnectionTable,
    hand_over_connections: HandOverConnections,
    /// Addresses with a connection attempt in progress, or one that failed within
    /// [`RETRY_PAUSE`].
    connecting: Mutex<IndexSet<SocketAddrV4>>,
    events: mpsc::Sender<ControlEvent>,
}

impl ControlEndpoint {
    /// Opens the endpoint at `address` and starts to accept connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificates cannot be used or the address cannot be bound.
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
            quinn::EndpointConfig::new(reset_key::from_system_key(keys.current())),
            Some(tls_config::server_config(tls)?),
            Arc::new(socket),
            runtime,
        )
        .change_context(ControlError::Bind)?;
        let (events, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let shared = Arc::new(Shared {
            endpoint,
            message_config: tls_config::client_config(tls, ALPN_CONTROL)?,
            hand_over_config: tls_config::client_config(tls, ALPN_HANDOVER)?,
            connections: ConnectionTable::default(),
            hand_over_connections: HandOverConnections::default(),
            connecting: Mutex::default(),
            events,
        });
        tokio::spawn(accept(shared.clone()));
        Ok((Self { shared }, rx))
    }

    /// Sends a message to the process at `address`; delivery is not guaranteed.
    ///
    /// A message that fits into a datagram is sent as one, a longer one on its own stream. Without
    /// a connection, one is opened; further messages are dropped until it is open.
    pub fn send(&self, address: SocketAddrV4, bytes: Bytes) {
        if let Some(connection) = self.shared.connections.get(address) {
            send_on(&connection, bytes);
            return;
        }
        if self.shared.connecting.lock().insert(address) {
            tokio::spawn(connect_and_send(self.shared.clone(), address, bytes));
        }
    }

    /// Returns a connection for handing requests over to the process at `address`.
    ///
    /// Concurrent calls share one connection attempt. After a failed attempt, calls fail without a
    /// new one for a pause.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be reached; no request has been sent then.
    pub async fn hand_over(
        &self,
        address: SocketAddrV4,
    ) -> Result<quinn::Connection, quinn::ConnectionError> {
        let connect = connect(&self.shared, &self.shared.hand_over_config, address);
        self.shared
            .hand_over_connections
            .get(address, connect)
            .await
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

/// Opens a connection, sends `bytes` on it and reads messages until it closes.
async fn connect_and_send(shared: Arc<Shared>, address: SocketAddrV4, bytes: Bytes) {
    match connect(&shared, &shared.message_config, address).await {
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
        tokio::spawn(handle_incoming(shared.clone(), incoming));
    }
}

/// Completes the handshake of an incoming connection and serves it by its protocol.
async fn handle_incoming(shared: Arc<Shared>, incoming: quinn::Incoming) {
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
    match negotiated_protocol(&connection).as_deref() {
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

/// Returns the ALPN protocol that the connection negotiated.
fn negotiated_protocol(connection: &quinn::Connection) -> Option<Vec<u8>> {
    let data = connection.handshake_data()?;
    let data = data
        .downcast::<quinn::crypto::rustls::HandshakeData>()
        .ok()?;
    data.protocol
}

/// Reads datagrams and streams as messages until the connection closes.
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
