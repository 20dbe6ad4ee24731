//! Rendezvous hashing, which assigns a subject to a few of many members.
//!
//! All nodes with the same set of members compute the same assignment. When a member is added or
//! removed, only the subjects assigned to that member move.

use std::net::SocketAddrV4;

/// Returns the address and port as a number.
#[must_use]
pub const fn address_number(address: SocketAddrV4) -> u64 {
    (address.ip().to_bits() as u64) << 16 | address.port() as u64
}

/// Mixes the bits of `value` with the finalizer of `SplitMix64`.
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the score of `member` for `subject`; the members with the highest scores are responsible
/// for the subject.
#[must_use]
pub const fn score(subject: u64, member: u64) -> u64 {
    mix(subject ^ mix(member))
}
