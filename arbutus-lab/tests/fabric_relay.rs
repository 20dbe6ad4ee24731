//! The fabric's relay of datagrams, on real sockets.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use arbutus_core::tunnel::{self, Endpoints};
use arbutus_lab::{
    admin,
    fabric::{Fabric, FabricCommand, FabricCounts, FabricOptions},
};
use tokio::{net::UdpSocket, time};

const ANY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
/// Limit on the wait for one datagram.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

fn v4(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("a bound socket") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buf = vec![0; 2_048];
    let received = time::timeout(RECEIVE_TIMEOUT, socket.recv_from(&mut buf)).await;
    let (len, _) = received.expect("a datagram").expect("a working socket");
    buf.truncate(len);
    buf
}

#[tokio::test]
async fn a_datagram_reaches_a_balancer_and_its_answer_comes_from_the_service() {
    let balancer = UdpSocket::bind(ANY).await.expect("a socket");
    let caller = UdpSocket::bind(ANY).await.expect("a socket");
    let mut options = FabricOptions::new();
    options.services = vec![ANY];
    options.balancers = vec![v4(&balancer)];
    let fabric = Fabric::start(&options).await.expect("a fabric");
    let service = fabric.services[0];

    caller.send_to(b"question", service).await.expect("sent");
    let encapsulated = receive(&balancer).await;
    let (endpoints, payload) = tunnel::decode_fabric(&encapsulated).expect("a PROXY header");
    assert_eq!(payload, b"question");
    assert_eq!(endpoints.source, v4(&caller));
    assert_eq!(endpoints.destination, service);

    let return_path = Endpoints {
        source: service,
        destination: v4(&caller),
    };
    let mut answer = Vec::new();
    tunnel::encode_fabric(&return_path, b"answer", &mut answer).expect("encoded");
    balancer
        .send_to(b"garbage", fabric.egress)
        .await
        .expect("sent");
    balancer
        .send_to(&answer, fabric.egress)
        .await
        .expect("sent");
    assert_eq!(receive(&caller).await, b"answer");

    let command = FabricCommand::AddBalancer { address: ANY };
    let response = admin::post(fabric.admin.into(), "/command", &command).await;
    let counts: FabricCounts = serde_json::from_str(&response.expect("counts")).expect("JSON");
    assert_eq!(counts.from_callers, 1);
    assert_eq!(counts.unreadable, 1);
}
