//! Parses packets of the users' platform and restores bounced ones.
#![no_main]

use arbutus_io::packet::PacketCodec;
use arbutus_platform::PacketFormat;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|payload: &[u8]| {
    let format = PacketFormat::new(8_172);
    let _ = format.read_from_caller(payload);
    let _ = format.read_from_backend(payload);
    let _ = format.request_id(payload);
    format.restore_bounced(&mut payload.to_vec());
});
