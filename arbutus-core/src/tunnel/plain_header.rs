use std::{
    net::{Ipv4Addr, SocketAddrV4},
    ops::Range,
    sync::LazyLock,
};

use super::{Endpoints, TunnelHeader, tunnel_codec};
use crate::ident::ServiceTag;

/// Positions of the fields in a header without candidates, hops and balancer.
const SOURCE_IP: Range<usize> = 16..20;
const DESTINATION_IP: Range<usize> = 20..24;
const SOURCE_PORT: Range<usize> = 24..26;
const DESTINATION_PORT: Range<usize> = 26..28;
const TAG: Range<usize> = 31..35;
const KEY_NUMBER: usize = 38;

/// Header as built by the `ppp` crate, with all fields zero.
static TEMPLATE: LazyLock<Vec<u8>> = LazyLock::new(|| {
    let unspecified = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
    let endpoints = Endpoints {
        source: unspecified,
        destination: unspecified,
    };
    let header = TunnelHeader::new(endpoints, ServiceTag::new(0));
    tunnel_codec::build(&header, 0).expect("building a header in memory does not fail")
});

/// Appends the header of an established flow, with a zero MAC, without allocating.
///
/// The header is copied from a template, since building each header anew took most of the time
/// that a balancer spends on a packet.
pub(super) fn append(header: &TunnelHeader, key_number: u8, buf: &mut Vec<u8>) {
    let start = buf.len();
    buf.extend_from_slice(&TEMPLATE);
    let head = &mut buf[start..];
    let Endpoints {
        source,
        destination,
    } = header.endpoints;
    head[SOURCE_IP].copy_from_slice(&source.ip().octets());
    head[DESTINATION_IP].copy_from_slice(&destination.ip().octets());
    head[SOURCE_PORT].copy_from_slice(&source.port().to_be_bytes());
    head[DESTINATION_PORT].copy_from_slice(&destination.port().to_be_bytes());
    head[TAG].copy_from_slice(&header.tag.get().to_be_bytes());
    head[KEY_NUMBER] = key_number;
}
