//! The socket loops of a balancer and of an agent of packet flows.
//!
//! A [`PacketCodec`] defines the packet format. [`arbutus_core::packet`] makes the forwarding
//! decisions.
//!
//! Locking: the state of a process is locked for one packet or one event at a time, and no other
//! lock is taken while it is held.

mod agent;
mod balancer;
mod codec;
mod pause_detector;
mod socket;

pub use agent::{AgentSockets, PacketAgent};
pub use balancer::{BalancerSockets, PacketBalancer};
pub use codec::{DecodedPacket, PacketCodec, PacketError};
pub use socket::PacketSocket;
