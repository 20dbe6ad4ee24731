//! Encodes the owner of a flow in a connection ID and decodes the ID again.

use arbutus_core::{
    cid::{self, FlowOwner},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

fn main() {
    let keys = KeyRing::single(SystemKey::derive(&[7; 32]));
    let agent = "10.0.0.7:4000".parse().expect("an address");
    let tag = ServiceTag::of_name("lookup");
    let owner = FlowOwner::new(agent, tag, Incarnation::new(1));

    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let id = cid::encode(&owner, &keys, &mut rng);
    println!("connection ID {id:02x?}");

    let decoded = cid::decode(&id, &keys).expect("the ID was issued by this system");
    println!("owner {} of service {}", decoded.agent, decoded.tag);

    let foreign = cid::decode(&[7; cid::CID_BYTES], &keys);
    println!("foreign ID: {foreign:?}");
}
