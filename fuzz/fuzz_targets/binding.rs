//! Decodes binding tokens.
#![no_main]

use arbutus_core::{
    binding,
    keys::{KeyRing, SystemKey},
};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|token: &str| {
    let keys = KeyRing::single(SystemKey::derive(&[1; 32]));
    let _ = binding::decode(token, &keys);
});
