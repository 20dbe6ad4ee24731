use std::{hash::Hasher, net::SocketAddrV4};

use siphasher::sip::SipHasher24;

use super::RouteAgent;
use crate::tunnel::Candidates;

/// Bits of a hash that a float holds exactly.
const UNIT_BITS: u32 = 53;

/// The hash by which balancers agree on a new flow.
#[must_use]
pub fn flow_hash(caller: SocketAddrV4, dcid: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(&caller.ip().octets());
    hasher.write(&caller.port().to_be_bytes());
    hasher.write(dcid);
    hasher.finish()
}

/// The part of an agent in the hash of a flow and an agent.
pub(crate) fn agent_hash(tunnel: SocketAddrV4) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(&tunnel.ip().octets());
    hasher.write(&tunnel.port().to_be_bytes());
    hasher.finish()
}

/// The rank of an agent for a flow among agents of equal weight, higher for the better.
pub(crate) const fn rendezvous_rank(flow: u64, seed: u64) -> u64 {
    mix(flow ^ seed)
}

/// The best agents for a flow, best first.
///
/// Agents of equal weight are compared by their hash alone, which gives the order that weights
/// would give too.
pub(super) fn best(flow: u64, agents: &[RouteAgent], uniform: bool) -> Candidates {
    if uniform {
        return select(agents, |agent| rendezvous_rank(flow, agent.seed));
    }
    select(agents, |agent| weighted_rank(flow, agent))
}

/// Picks the agents of the highest ranks without sorting the others.
fn select<R: PartialOrd + Copy>(
    agents: &[RouteAgent],
    rank: impl Fn(&RouteAgent) -> R,
) -> Candidates {
    let mut best: [Option<(R, SocketAddrV4)>; Candidates::MAX] = [None; Candidates::MAX];
    for agent in agents {
        let rank = rank(agent);
        let last = best[Candidates::MAX - 1];
        if last.is_some_and(|(worst, _)| rank <= worst) {
            continue;
        }
        insert(&mut best, rank, agent.tunnel);
    }
    best.iter().flatten().map(|(_, tunnel)| *tunnel).collect()
}

fn insert<R: PartialOrd + Copy>(
    best: &mut [Option<(R, SocketAddrV4)>; Candidates::MAX],
    rank: R,
    tunnel: SocketAddrV4,
) {
    let at = best
        .iter()
        .position(|entry| entry.is_none_or(|(other, _)| rank > other));
    if let Some(at) = at {
        best[at..].rotate_right(1);
        best[at] = Some((rank, tunnel));
    }
}

/// The rank of an agent, higher for the better: `ln(u) / weight` with `u` uniform in (0, 1).
fn weighted_rank(flow: u64, agent: &RouteAgent) -> f64 {
    unit(mix(flow ^ agent.seed)).ln() / f64::from(agent.weight_percent)
}

/// Maps a hash to (0, 1).
#[expect(
    clippy::cast_precision_loss,
    reason = "the shift leaves as many bits as the float holds"
)]
fn unit(hash: u64) -> f64 {
    let scale = (1_u64 << UNIT_BITS) as f64;
    ((hash >> (u64::BITS - UNIT_BITS)) as f64 + 0.5) / scale
}

/// The finalizer of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
