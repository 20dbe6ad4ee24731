//! Control messages between processes: what decodes must encode to something that decodes alike.
#![no_main]

use arbutus_core::membership::wire;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|payload: &[u8]| {
    if let Ok(message) = wire::decode(payload) {
        let again = wire::decode(&wire::encode(&message));
        assert_eq!(again.ok(), Some(message));
    }
});
