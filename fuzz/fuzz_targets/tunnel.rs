//! Decodes tunnel and fabric datagrams and parses QUIC packet headers.
#![no_main]

use arbutus_core::{
    keys::{KeyRing, SystemKey},
    quic, tunnel,
};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|datagram: &[u8]| {
    let keys = KeyRing::single(SystemKey::derive(&[1; 32]));
    let _ = tunnel::decode(datagram, &keys);
    if let Ok((_, payload)) = tunnel::decode_fabric(datagram) {
        let _ = quic::parse_header(payload);
    }
    let _ = quic::parse_header(datagram);
});
