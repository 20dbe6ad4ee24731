use std::{hash::Hasher, net::SocketAddrV4};

use siphasher::sip::SipHasher24;

use super::RouteAgent;
use crate::tunnel::Candidates;

/// Number of bits of an integer that an `f64` represents exactly.
const F64_EXACT_BITS: u32 = 53;

/// Returns the hash of a new flow; all balancers compute the same one.
#[must_use]
pub fn flow_hash(caller: SocketAddrV4, dcid: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(&caller.ip().octets());
    hasher.write(&caller.port().to_be_bytes());
    hasher.write(dcid);
    hasher.finish()
}

/// Returns the hash of an agent, which is combined with the hash of a flow to rank the agent.
pub(crate) fn agent_hash(tunnel: SocketAddrV4) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(&tunnel.ip().octets());
    hasher.write(&tunnel.port().to_be_bytes());
    hasher.finish()
}

/// Returns the rank of an agent for a flow among agents of equal weight; higher is better.
pub(crate) const fn rendezvous_rank(flow: u64, agent: u64) -> u64 {
    mix(flow ^ agent)
}

/// Returns the highest-ranked agents for a flow, best first.
///
/// Agents of equal weight are ranked by their hash alone, which yields the same order as the
/// weighted rank.
pub(super) fn best_candidates(flow: u64, agents: &[RouteAgent], uniform: bool) -> Candidates {
    if uniform {
        return select_best(agents, |agent| rendezvous_rank(flow, agent.tunnel_hash));
    }
    select_best(agents, |agent| weighted_rank(flow, agent))
}

/// Selects the highest-ranked agents without sorting the others.
fn select_best<R: PartialOrd + Copy>(
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

/// Returns the weighted rank of an agent, higher is better: `ln(u) / weight` with `u` uniform in
/// (0, 1).
fn weighted_rank(flow: u64, agent: &RouteAgent) -> f64 {
    unit_interval(mix(flow ^ agent.tunnel_hash)).ln() / f64::from(agent.weight_percent)
}

/// Maps a hash to the open interval (0, 1).
#[expect(
    clippy::cast_precision_loss,
    reason = "the shift leaves only as many bits as an f64 represents exactly"
)]
fn unit_interval(hash: u64) -> f64 {
    let scale = (1_u64 << F64_EXACT_BITS) as f64;
    ((hash >> (u64::BITS - F64_EXACT_BITS)) as f64 + 0.5) / scale
}

/// Mixes the bits of `value` with the finalizer of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
