use std::{
    hash::Hasher,
    io,
    net::{Ipv4Addr, SocketAddrV4},
};

use ppp::v2;
use siphasher::sip128::{Hasher128, SipHasher24};

use super::{Candidates, Endpoints, MAX_PAYLOAD_BYTES, TunnelError, TunnelHeader, plain_header};
use crate::{ident::ServiceTag, keys::KeyRing, keys::SystemKey};

/// TLV types from the range that the protocol leaves to applications.
const TLV_TAG: u8 = 0xe0;
const TLV_CANDIDATES: u8 = 0xe1;
const TLV_HOPS: u8 = 0xe2;
const TLV_MAC: u8 = 0xe3;
const TLV_VIA: u8 = 0xe4;

const ADDRESS_BYTES: usize = 6;
const CODE_BYTES: usize = 16;
/// A key number and the code.
const MAC_BYTES: usize = 1 + CODE_BYTES;
/// How much of the payload the code covers: the connection ID and packet number. The rest is
/// protected by QUIC itself.
const COVERED_PAYLOAD_BYTES: usize = 64;

/// Appends header and payload to `buf`.
///
/// # Errors
///
/// Fails with [`TunnelError::Oversized`] where the payload is too long.
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
    let code = code(keys.current(), &buf[start..buf.len() - CODE_BYTES], payload);
    let code_at = buf.len() - CODE_BYTES;
    buf[code_at..].copy_from_slice(&code);
    buf.extend_from_slice(payload);
    Ok(())
}

/// Reads and authenticates a datagram of the tunnel.
///
/// # Errors
///
/// Fails where any part is missing, malformed or not authentic.
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
    // The code is the last field, so that everything before it is covered.
    let covered = &datagram[..head.len() - CODE_BYTES];
    if code(key, covered, payload) != found || !datagram[..head.len()].ends_with(&found) {
        return Err(TunnelError::Mac);
    }
    Ok((header, payload))
}

/// Appends a datagram as the fabric hands it over: no fields and no code.
///
/// # Errors
///
/// Fails with [`TunnelError::Header`] where the header cannot be built.
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

/// Reads a datagram as the fabric hands it over.
///
/// # Errors
///
/// Fails where the header is malformed or the payload is too long.
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

/// Builds a header whose code is still zero.
pub(super) fn build(header: &TunnelHeader, key_number: u8) -> io::Result<Vec<u8>> {
    let mut candidates = [0; Candidates::MAX * ADDRESS_BYTES];
    let named = header.candidates.as_slice();
    for (chunk, agent) in candidates.chunks_exact_mut(ADDRESS_BYTES).zip(named) {
        chunk.copy_from_slice(&write_address(*agent));
    }
    let mut mac = [0; MAC_BYTES];
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

fn read_mac(value: &[u8]) -> Result<(u8, [u8; CODE_BYTES]), TunnelError> {
    let (number, code) = value.split_first().ok_or(TunnelError::Field)?;
    let code = code.try_into().map_err(|_| TunnelError::Field)?;
    Ok((*number, code))
}

fn code(key: &SystemKey, head: &[u8], payload: &[u8]) -> [u8; CODE_BYTES] {
    let covered = &payload[..payload.len().min(COVERED_PAYLOAD_BYTES)];
    let mut hasher = SipHasher24::new_with_key(&key.tunnel_mac_key);
    hasher.write(head);
    hasher.write(covered);
    hasher.write_usize(payload.len());
    hasher.finish128().as_bytes()
}
