//! Parses heartbeats and configurations from the users' platform.
#![no_main]

use libfuzzer_sys::fuzz_target;

fuzz_target!(|payload: &[u8]| {
    let _ = arbutus_platform::read_heartbeat("i-1", payload);
    let _ = arbutus_platform::read_config(payload);
});
