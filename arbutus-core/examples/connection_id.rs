//! Makes a connection ID that names its owner, and reads it back.

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

    let read = cid::decode(&id, &keys).expect("the system's own ID");
    println!("owner {} of service {}", read.agent, read.tag);

    let stranger = cid::decode(&[7; cid::CID_BYTES], &keys);
    println!("a stranger's ID: {stranger:?}");
}
