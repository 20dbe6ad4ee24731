//! Decodes the messages between balancers and agents for packet flows.
#![no_main]

use arbutus_core::packet::Message;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|payload: &[u8]| {
    let _ = Message::decode(payload);
});
