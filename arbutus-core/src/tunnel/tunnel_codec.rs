use std::{
    hash::Hasher,
    io,
    net::{Ipv4Addr, SocketAddrV4},
};

use ppp::v2;
use siphasher::sip128::{Hasher128, SipHasher24};

use super::{Candidates, Endpoints, MAX_PAYLOAD_BYTES, TunnelError, TunnelHeader, plain_header};
use crate::{ident::ServiceTag, keys::KeyRing, keys::SystemKey};

// TLV types from the range that the protocol reserves for applications.
const TLV_TAG: u8 = 0xe0;
const TLV_CANDIDATES: u8 = 0xe1;
const TLV_HOPS: u8 = 0xe2;
const TLV_MAC: u8 = 0xe3;
const TLV_VIA: u8 = 0xe4;

const ADDRESS_BYTES: usize = 6;
const MAC_BYTES: usize = 16;
/// Size of the MAC field: a key number and the MAC.
const MAC_FIELD_BYTES: usize = 1 + MAC_BYTES;
/// Number of leading payload bytes that the MAC covers, which include the connection ID and packet
/// number. QUIC itself protects the rest of the payload.
const MAC_PAYLOAD_BYTES: usize = 64;

/// Appends header and payload to `buf`.
///
/// # Errors
///
/// Returns [`TunnelError::Oversized`] if the payload is too long, or [`TunnelError::Header`] if the
/// header cannot be built.
pub fn encode(
    header: &TunnelHeader,
    payload: &[u8],
    keys: &KeyRing,
    buf: &mut Vec<u8>,
) -> Result<(), TunnelError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(TunnelError::Oversized);
    }
    let start = buf.len();
    let key_number = keys.current_number();
    if header.is_plain() {
        plain_header::append(header, key_number, buf);
    } else {
        let head = build(header, key_number).map_err(|_| TunnelError::Header)?;
        buf.extend_from_slice(&head);
    }
    let mac = compute_mac(keys.current(), &buf[start..buf.len() - MAC_BYTES], payload);
    let mac_at = buf.len() - MAC_BYTES;
    buf[mac_at..].copy_from_slice(&mac);
    buf.extend_from_slice(payload);
    Ok(())
}

/// Decodes and authenticates a tunnel datagram.
///
/// # Errors
///
/// Returns an error if any part is missing, malformed or not authentic.
pub fn decode<'a>(
    datagram: &'a [u8],
    keys: &KeyRing,
) -> Result<(TunnelHeader, &'a [u8]), TunnelError> {
    let head = v2::Header::try_from(datagram).map_err(|_| TunnelError::Header)?;
    let payload = &datagram[head.len()..];
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(TunnelError::Oversized);
    }
    let mut header = TunnelHeader::new(endpoints(&head)?, ServiceTag::default());
    let mut tag = None;
    let mut mac = None;
    for tlv in head.tlvs() {
        let tlv = tlv.map_err(|_| TunnelError::Field)?;
        match tlv.kind {
            TLV_TAG => tag = Some(read_tag(&tlv.value)?),
            TLV_CANDIDATES => header.candidates = read_candidates(&tlv.value)?,
            TLV_VIA => header.via = Some(read_via(&tlv.value)?),
            TLV_HOPS => header.hops = read_hops(&tlv.value)?,
            TLV_MAC => mac = Some(read_mac(&tlv.value)?),
            _ => {}
        }
    }
    header.tag = tag.ok_or(TunnelError::Field)?;
    let (number, found) = mac.ok_or(TunnelError::Mac)?;
    let key = keys.get(number).ok_or(TunnelError::Mac)?;
    // The MAC is the last field, so that it covers everything before it.
    let covered = &datagram[..head.len() - MAC_BYTES];
    if compute_mac(key, covered, payload) != found || !datagram[..head.len()].ends_with(&found) {
        return Err(TunnelError::Mac);
    }
    Ok((header, payload))
}

/// Appends a datagram in the format of the fabric: a header without TLV fields and MAC.
///
/// # Errors
///
/// Returns [`TunnelError::Header`] if the header cannot be built.
pub fn encode_fabric(
    endpoints: &Endpoints,
    payload: &[u8],
    buf: &mut Vec<u8>,
) -> Result<(), TunnelError> {
    let head = builder(endpoints)
        .build()
        .map_err(|_| TunnelError::Header)?;
    buf.extend_from_slice(&head);
    buf.extend_from_slice(payload);
    Ok(())
}

/// Decodes a datagram in the format of the fabric.
///
/// # Errors
///
/// Returns an error if the header is malformed or the payload is too long.
pub fn decode_fabric(datagram: &[u8]) -> Result<(Endpoints, &[u8]), TunnelError> {
    let head = v2::Header::try_from(datagram).map_err(|_| TunnelError::Header)?;
    let payload = &datagram[head.len()..];
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(TunnelError::Oversized);
    }
    Ok((endpoints(&head)?, payload))
}

fn builder(endpoints: &Endpoints) -> v2::Builder {
    let addresses = v2::IPv4::new(
        *endpoints.source.ip(),
        *endpoints.destination.ip(),
        endpoints.source.port(),
        endpoints.destination.port(),
    );
    v2::Builder::with_addresses(
        v2::Version::Two | v2::Command::Proxy,
        v2::Protocol::Datagram,
        addresses,
    )
}

/// Builds a header with a zero MAC.
pub(super) fn build(header: &TunnelHeader, key_number: u8) -> io::Result<Vec<u8>> {
    let mut candidates = [0; Candidates::MAX * ADDRESS_BYTES];
    let named = header.candidates.as_slice();
    for (chunk, agent) in candidates.chunks_exact_mut(ADDRESS_BYTES).zip(named) {
        chunk.copy_from_slice(&write_address(*agent));
    }
    let mut mac = [0; MAC_FIELD_BYTES];
    mac[0] = key_number;

    let mut builder = builder(&header.endpoints)
        .reserve_capacity(96)
        .write_tlv(TLV_TAG, &header.tag.get().to_be_bytes())?;
    if !named.is_empty() {
        builder = builder.write_tlv(TLV_CANDIDATES, &candidates[..named.len() * ADDRESS_BYTES])?;
    }
    if header.hops > 0 {
        builder = builder.write_tlv(TLV_HOPS, &[header.hops])?;
    }
    if let Some(balancer) = header.via {
        builder = builder.write_tlv(TLV_VIA, &write_address(balancer))?;
    }
    builder.write_tlv(TLV_MAC, &mac)?.build()
}

fn endpoints(head: &v2::Header<'_>) -> Result<Endpoints, TunnelError> {
    match (head.command, head.protocol, &head.addresses) {
        (v2::Command::Proxy, v2::Protocol::Datagram, v2::Addresses::IPv4(it)) => Ok(Endpoints {
            source: SocketAddrV4::new(it.source_address, it.source_port),
            destination: SocketAddrV4::new(it.destination_address, it.destination_port),
        }),
        _ => Err(TunnelError::Family),
    }
}

fn read_tag(value: &[u8]) -> Result<ServiceTag, TunnelError> {
    let bytes = value.try_into().map_err(|_| TunnelError::Field)?;
    Ok(ServiceTag::new(u32::from_be_bytes(bytes)))
}

fn read_hops(value: &[u8]) -> Result<u8, TunnelError> {
    match value {
        [hops] => Ok(*hops),
        _ => Err(TunnelError::Field),
    }
}

fn read_candidates(value: &[u8]) -> Result<Candidates, TunnelError> {
    let whole = value.len().is_multiple_of(ADDRESS_BYTES);
    if !whole || value.len() > Candidates::MAX * ADDRESS_BYTES {
        return Err(TunnelError::Field);
    }
    Ok(value
        .chunks_exact(ADDRESS_BYTES)
        .map(read_address)
        .collect())
}

fn read_via(value: &[u8]) -> Result<SocketAddrV4, TunnelError> {
    if value.len() == ADDRESS_BYTES {
        Ok(read_address(value))
    } else {
        Err(TunnelError::Field)
    }
}

fn write_address(address: SocketAddrV4) -> [u8; ADDRESS_BYTES] {
    let [a, b, c, d] = address.ip().octets();
    let [high, low] = address.port().to_be_bytes();
    [a, b, c, d, high, low]
}

fn read_address(chunk: &[u8]) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(chunk[0], chunk[1], chunk[2], chunk[3]);
    SocketAddrV4::new(ip, u16::from_be_bytes([chunk[4], chunk[5]]))
}

fn read_mac(value: &[u8]) -> Result<(u8, [u8; MAC_BYTES]), TunnelError> {
    let (number, mac) = value.split_first().ok_or(TunnelError::Field)?;
    let mac = mac.try_into().map_err(|_| TunnelError::Field)?;
    Ok((*number, mac))
}

/// Computes the MAC over `head` and the covered part of `payload`.
fn compute_mac(key: &SystemKey, head: &[u8], payload: &[u8]) -> [u8; MAC_BYTES] {
    let covered = &payload[..payload.len().min(MAC_PAYLOAD_BYTES)];
    let mut hasher = SipHasher24::new_with_key(&key.tunnel_mac_key);
    hasher.write(head);
    hasher.write(covered);
    hasher.write_usize(payload.len());
    hasher.finish128().as_bytes()
}
