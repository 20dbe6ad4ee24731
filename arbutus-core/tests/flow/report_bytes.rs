use arbutus_core::{
    flow::LoadReport,
    ident::{Incarnation, ServiceTag},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::fleet::tunnel;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_report_decodes_to_what_was_encoded(
        tag in any::<u32>(),
        incarnation in any::<u64>(),
        sequence in any::<u32>(),
        requests in any::<u32>(),
        connections in any::<u32>(),
        free_slots in any::<u32>(),
        weight_permille in any::<u32>(),
        trailing in vec(any::<u8>(), 1..4),
    ) {
        let report = LoadReport {
            from: tunnel(1),
            tag: ServiceTag::new(tag),
            incarnation: Incarnation::new(incarnation),
            sequence,
            requests,
            connections,
            free_slots,
            weight_permille,
        };
        let mut buf = Vec::new();
        report.encode(&mut buf);
        prop_assert!(buf.len() <= LoadReport::MAX_BYTES);
        prop_assert_eq!(LoadReport::decode(&buf), Ok(report));
        prop_assert!(LoadReport::decode(&buf[..buf.len() - 1]).is_err());
        buf.extend(trailing);
        prop_assert!(LoadReport::decode(&buf).is_err());
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in vec(any::<u8>(), 0..100)) {
        if let Ok(report) = LoadReport::decode(&bytes) {
            let mut buf = Vec::new();
            report.encode(&mut buf);
            prop_assert_eq!(LoadReport::decode(&buf), Ok(report));
        }
    }
}
