//! Decodes control messages between processes.
//!
//! A decoded message that is encoded and decoded again must be equal to the first one.
#![no_main]

use arbutus_core::membership::wire;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|payload: &[u8]| {
    if let Ok(message) = wire::decode(payload) {
        let round_trip = wire::decode(&wire::encode(&message));
        assert_eq!(round_trip.ok(), Some(message));
    }
});
