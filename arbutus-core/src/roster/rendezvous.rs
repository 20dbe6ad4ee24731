//! Rendezvous hashing: which few of many members are responsible for a thing.
//!
//! Every node that knows the same members names the same ones, and a member that comes or goes
//! moves only what is its own.

use std::net::SocketAddrV4;

/// The address as a number.
#[must_use]
pub const fn address_number(address: SocketAddrV4) -> u64 {
    (address.ip().to_bits() as u64) << 16 | address.port() as u64
}

/// Spreads the bits of `value` (the finalizer of `SplitMix64`).
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The weight of `member` for `subject`; the members of the highest weights are responsible.
#[must_use]
pub const fn score(subject: u64, member: u64) -> u64 {
    mix(subject ^ mix(member))
}
