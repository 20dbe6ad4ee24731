//! Decodes connection IDs.
#![no_main]

use arbutus_core::{
    cid,
    keys::{KeyRing, SystemKey},
};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|id: &[u8]| {
    let keys = KeyRing::single(SystemKey::derive(&[1; 32]));
    let _ = cid::decode(id, &keys);
});
