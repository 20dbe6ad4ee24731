use std::net::{SocketAddr, SocketAddrV4};

use super::text;
use crate::{document::Node, findings::Findings};

/// Parses a numeric IP address with a port.
pub fn address(key: &str, node: &Node, findings: &mut Findings) -> Option<SocketAddr> {
    let written = text(key, node, findings)?;
    let parsed = written.parse().ok();
    if parsed.is_none() {
        let message = format!("`{key}` must be an address like 192.0.2.1:4433, found `{written}`");
        findings.add(&node.location, message);
    }
    parsed
}

/// Parses a numeric IPv4 address with a port.
pub fn address_v4(key: &str, node: &Node, findings: &mut Findings) -> Option<SocketAddrV4> {
    match address(key, node, findings)? {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(address) => {
            let message = format!("`{key}` must be an IPv4 address, found `{address}`");
            findings.add(&node.location, message);
            None
        }
    }
}
