use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use arbutus_core::tunnel::{self, Endpoints};
use error_stack::{Report, ResultExt};
use http::{Method, StatusCode};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, UdpSocket},
    time,
};

use super::{Delivery, FabricCommand, FabricOptions, FabricState};
use crate::{
    admin::{self, Endpoint, Reply},
    clock,
    error::LabError,
};

/// Size of a receive buffer in bytes, enough for any UDP datagram.
const DATAGRAM_BUFFER_BYTES: usize = 65_535;

/// The addresses of a started fabric.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricAddresses {
    /// The service addresses, in the order of the options.
    pub services: Vec<SocketAddrV4>,
    /// The address from which balancers receive the fabric's datagrams.
    pub egress: SocketAddrV4,
    /// The address of the admin port.
    pub admin: SocketAddrV4,
}

/// A running fabric.
#[derive(Debug)]
pub struct Fabric {
    state: Mutex<FabricState>,
    services: IndexMap<SocketAddrV4, Arc<UdpSocket>>,
    egress: UdpSocket,
}

impl Fabric {
    /// Binds all sockets and starts relaying in background tasks.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound.
    pub async fn start(options: &FabricOptions) -> Result<FabricAddresses, Report<LabError>> {
        let mut services = IndexMap::new();
        for address in &options.services {
            let socket = bind(*address).await?;
            services.insert(local_address(&socket)?, Arc::new(socket));
        }
        let egress = bind(options.egress).await?;
        let listener = TcpListener::bind(options.admin)
            .await
            .change_context(LabError::Socket)?;
        let addresses = FabricAddresses {
            services: services.keys().copied().collect(),
            egress: local_address(&egress)?,
            admin: require_v4(listener.local_addr().change_context(LabError::Socket)?)?,
        };
        let fabric = Arc::new(Self {
            state: Mutex::new(FabricState::new(&options.balancers, options.seed)),
            services,
            egress,
        });
        for (address, socket) in &fabric.services {
            let relay = Arc::clone(&fabric).relay_to_balancers(*address, Arc::clone(socket));
            tokio::spawn(relay);
        }
        tokio::spawn(Arc::clone(&fabric).relay_to_callers());
        tokio::spawn(admin::serve(listener, fabric));
        Ok(addresses)
    }

    async fn relay_to_balancers(self: Arc<Self>, service: SocketAddrV4, socket: Arc<UdpSocket>) {
        let mut buf = vec![0; DATAGRAM_BUFFER_BYTES];
        loop {
            // An error here reports that an earlier datagram was not delivered, and is ignored.
            let Ok((len, SocketAddr::V4(caller))) = socket.recv_from(&mut buf).await else {
                continue;
            };
            let endpoints = Endpoints {
                source: caller,
                destination: service,
            };
            let mut encapsulated = Vec::with_capacity(len + 32);
            if tunnel::encode_fabric(&endpoints, &buf[..len], &mut encapsulated).is_err() {
                continue;
            }
            let deliveries = self.state.lock().copies_to_balancers(clock::now_micros());
            for delivery in deliveries {
                self.send_to_balancer(&encapsulated, delivery).await;
            }
        }
    }

    async fn relay_to_callers(self: Arc<Self>) {
        let mut buf = vec![0; DATAGRAM_BUFFER_BYTES];
        loop {
            let Ok((len, SocketAddr::V4(balancer))) = self.egress.recv_from(&mut buf).await else {
                continue;
            };
            let Ok((endpoints, payload)) = tunnel::decode_fabric(&buf[..len]) else {
                self.state.lock().count_unreadable();
                continue;
            };
            let Some(socket) = self.services.get(&endpoints.source) else {
                self.state.lock().count_unreadable();
                continue;
            };
            let delays = self
                .state
                .lock()
                .copies_to_caller(balancer, clock::now_micros());
            for delay in delays {
                send_to_caller(socket, payload, endpoints.destination, delay).await;
            }
        }
    }

    async fn send_to_balancer(self: &Arc<Self>, datagram: &[u8], delivery: Delivery) {
        if delivery.delay.is_zero() {
            let _ = self.egress.send_to(datagram, delivery.balancer).await;
            return;
        }
        let fabric = Arc::clone(self);
        let datagram = datagram.to_vec();
        tokio::spawn(async move {
            time::sleep(delivery.delay).await;
            let _ = fabric.egress.send_to(&datagram, delivery.balancer).await;
        });
    }
}

impl Endpoint for Fabric {
    fn handle(&self, method: &Method, path: &str, body: &[u8]) -> Reply {
        match (method, path) {
            (&Method::GET, "/counts") => Reply::json(&self.state.lock().counts()),
            (&Method::POST, "/command") => match serde_json::from_slice(body) {
                Ok(command) => {
                    let command: FabricCommand = command;
                    let mut state = self.state.lock();
                    state.apply(&command, clock::now_micros());
                    Reply::json(&state.counts())
                }
                Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            _ => Reply::error(StatusCode::NOT_FOUND, "the path does not exist"),
        }
    }
}

async fn send_to_caller(
    socket: &Arc<UdpSocket>,
    payload: &[u8],
    caller: SocketAddrV4,
    delay: Duration,
) {
    if delay.is_zero() {
        let _ = socket.send_to(payload, caller).await;
        return;
    }
    let socket = Arc::clone(socket);
    let payload = payload.to_vec();
    tokio::spawn(async move {
        time::sleep(delay).await;
        let _ = socket.send_to(&payload, caller).await;
    });
}

async fn bind(address: SocketAddrV4) -> Result<UdpSocket, Report<LabError>> {
    UdpSocket::bind(address)
        .await
        .change_context(LabError::Socket)
        .attach_with(|| address.to_string())
}

fn local_address(socket: &UdpSocket) -> Result<SocketAddrV4, Report<LabError>> {
    require_v4(socket.local_addr().change_context(LabError::Socket)?)
}

fn require_v4(address: SocketAddr) -> Result<SocketAddrV4, Report<LabError>> {
    match address {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(Report::new(LabError::Socket)),
    }
}
