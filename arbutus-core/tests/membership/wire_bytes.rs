//! Decoding of messages from arbitrary bytes.

use arbutus_core::membership::{BalancerEvent, BalancerIdentity, BalancerNode, Settings, wire};
use arbutus_core::{ident::Incarnation, time::Timestamp};
use proptest::prelude::*;

proptest! {
    #[test]
    fn decoding_random_bytes_never_panics(
        mut bytes in proptest::collection::vec(any::<u8>(), 0..400),
    ) {
        let _ = wire::decode(&bytes);
        if let Some(first) = bytes.first_mut() {
            *first = wire::VERSION;
        }
        if let Ok(message) = wire::decode(&bytes) {
            prop_assert_eq!(wire::decode(&wire::encode(&message)), Ok(message));
        }
    }

    #[test]
    fn a_balancer_handles_random_messages_without_panicking(bodies in proptest::collection::vec(
        (0_u8..11, proptest::collection::vec(any::<u8>(), 0..200)), 1..20,
    )) {
        let identity = BalancerIdentity {
            name: "b".into(),
            failure_domain: "a".into(),
            control: "10.0.0.1:1".parse().expect("an address"),
            tunnel: "10.0.0.1:2".parse().expect("an address"),
            admin_port: 3,
            incarnation: Incarnation::new(1),
            peers: Vec::new(),
        };
        let from = "10.0.0.2:1".parse().expect("an address");
        let mut balancer = BalancerNode::new(Settings::new(), &identity, 1, Timestamp::ZERO);
        for (index, (variant, body)) in (0_u64..).zip(bodies) {
            let mut payload = vec![wire::VERSION, variant];
            payload.extend(body);
            let now = Timestamp::from_millis(index * 50);
            balancer.handle(BalancerEvent::Received { from, payload }, now);
        }
    }
}
