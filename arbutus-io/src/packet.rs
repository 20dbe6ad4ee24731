//! Packet flows on sockets: the loops of a balancer and of an agent.
//!
//! What a packet looks like is the business of a [`PacketCodec`]; what becomes of it is decided by
//! [`arbutus_core::packet`].
//!
//! Lock order: the steering or holder of a process is locked for one packet or one piece of news
//! at a time, and no other lock is taken meanwhile.

mod agent;
mod balancer;
mod codec;
mod pause_detector;
mod socket;

pub use agent::{AgentSockets, PacketAgent};
pub use balancer::{BalancerSockets, PacketBalancer};
pub use codec::{DecodedPacket, PacketCodec, PacketError};
pub use socket::PacketSocket;
