//! Connections for handing requests over to peers.

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

/// When the key set of the tests was made, in seconds since the Unix epoch.
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

/// The connection IDs under which a silent process was tried.
fn attempts(silent: &UdpSocket) -> BTreeSet<Vec<u8>> {
    silent.set_nonblocking(true).expect("a mode");
    let mut buf = [0; 2_048];
    let mut attempts = BTreeSet::new();
    while let Ok(bytes) = silent.recv(&mut buf) {
        let shape = quic::parse_header(&buf[..bytes]).expect("a QUIC packet");
        attempts.insert(shape.dcid().to_vec());
    }
    attempts
}

#[tokio::test]
async fn many_requests_for_a_dead_peer_share_one_attempt() {
    let folder = tempfile::tempdir().expect("a folder");
    let endpoint = endpoint(&folder.path().join("keys"));
    let silent = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
    let SocketAddr::V4(address) = silent.local_addr().expect("an address") else {
        panic!("not IPv4");
    };
    let tries = (0..50).map(|_| endpoint.hand_over(address));
    let results = futures_util::future::join_all(tries).await;
    assert!(results.iter().all(Result::is_err));
    assert_eq!(attempts(&silent).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_was_not_reached_is_tried_again_after_a_pause() {
    let folder = tempfile::tempdir().expect("a folder");
    let endpoint = endpoint(&folder.path().join("keys"));
    let silent = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
    let SocketAddr::V4(address) = silent.local_addr().expect("an address") else {
        panic!("not IPv4");
    };
    let mut seen = BTreeSet::new();
    let mut attempts_after = async |pause| {
        tokio::time::advance(pause).await;
        assert!(endpoint.hand_over(address).await.is_err());
        // An attempt that was given up may still send under its own ID.
        seen.extend(attempts(&silent));
        seen.len()
    };
    assert_eq!(attempts_after(Duration::ZERO).await, 1);
    assert_eq!(attempts_after(Duration::ZERO).await, 1);
    assert_eq!(attempts_after(Duration::from_secs(5)).await, 2);
}
