//! Connection IDs that contain the owner of the flow.
//!
//! The scheme follows the QUIC-LB draft (draft-ietf-quic-load-balancers), but the encrypted block
//! contains the agent's own address, so that a balancer needs no table for an established flow.

mod cid_codec;
mod cid_error;
mod flow_owner;

pub use cid_codec::{CID_BYTES, decode, encode};
pub use cid_error::CidError;
pub use flow_owner::FlowOwner;
