//! Decodes a configuration index from the platform's store and lists its changes.
#![no_main]

use arbutus_core::apply::Index;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|value: &[u8]| {
    if let Ok(index) = Index::decode(value) {
        let _ = index.changes().count();
    }
});
