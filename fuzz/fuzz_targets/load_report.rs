//! Decodes load reports from peer agents.
#![no_main]

use arbutus_core::flow::LoadReport;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|payload: &[u8]| {
    let _ = LoadReport::decode(payload);
});
