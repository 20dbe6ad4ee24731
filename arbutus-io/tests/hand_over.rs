//! Tests of the connections for handing requests over to peers.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    path::Path,
    time::Duration,
};

use arbutus_core::{
    keys::{KeyRing, SystemKey},
    quic,
};
use arbutus_io::{control::ControlEndpoint, metrics::ControlMetrics};
use arbutus_settings::{key_set::KeySet, tls};

/// Creation time of the tests' key set, in seconds since the Unix epoch.
const NOW_UNIX_S: u64 = 1_790_000_000;

fn endpoint(folder: &Path) -> ControlEndpoint {
    KeySet::create(folder, &["lookup"], NOW_UNIX_S).expect("a key set");
    let authorities = tls::load_authorities(&folder.join("ca.pem")).expect("an authority");
    let certificate = folder.join("control.pem");
    let key = folder.join("control.key.pem");
    let identity = tls::load_identity(&certificate, &key).expect("an identity");
    let tls = tls::ControlTls {
        authorities,
        identity,
    };
    let keys = KeyRing::single(SystemKey::derive(&[1; 32]));
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let metrics = ControlMetrics::default();
    let (endpoint, _events) =
        ControlEndpoint::open(address, &tls, &keys, &metrics).expect("an endpoint");
    endpoint
}

/// Returns the connection IDs of the attempts that a peer, which never answers, has received.
fn attempts(peer: &UdpSocket) -> BTreeSet<Vec<u8>> {
    peer.set_nonblocking(true).expect("a mode");
    let mut buf = [0; 2_048];
    let mut attempts = BTreeSet::new();
    while let Ok(bytes) = peer.recv(&mut buf) {
        let header = quic::parse_header(&buf[..bytes]).expect("a QUIC packet");
        attempts.insert(header.dcid().to_vec());
    }
    attempts
}

#[tokio::test]
async fn concurrent_requests_to_an_unreachable_peer_share_one_attempt() {
    let folder = tempfile::tempdir().expect("a folder");
    let endpoint = endpoint(&folder.path().join("keys"));
    let peer = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
    let SocketAddr::V4(address) = peer.local_addr().expect("an address") else {
        panic!("not IPv4");
    };
    let connects = (0..50).map(|_| endpoint.hand_over(address));
    let results = futures_util::future::join_all(connects).await;
    assert!(results.iter().all(Result::is_err));
    assert_eq!(attempts(&peer).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_peer_is_retried_after_a_pause() {
    let folder = tempfile::tempdir().expect("a folder");
    let endpoint = endpoint(&folder.path().join("keys"));
    let peer = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
    let SocketAddr::V4(address) = peer.local_addr().expect("an address") else {
        panic!("not IPv4");
    };
    let mut seen = BTreeSet::new();
    let mut attempts_after = async |pause| {
        tokio::time::advance(pause).await;
        assert!(endpoint.hand_over(address).await.is_err());
        // An abandoned attempt may still send packets under its own connection ID.
        seen.extend(attempts(&peer));
        seen.len()
    };
    assert_eq!(attempts_after(Duration::ZERO).await, 1);
    assert_eq!(attempts_after(Duration::ZERO).await, 1);
    assert_eq!(attempts_after(Duration::from_secs(5)).await, 2);
}
