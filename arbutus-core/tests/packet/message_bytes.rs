use arbutus_core::packet::{AgentStatus, LookupAnswer, Message, QueryBatch, Question};
use proptest::{collection::vec, prelude::*};

use super::fixture::{SERVICE, agent, balancer, flow, header, listing, report};

#[test]
fn every_message_decodes_to_itself_with_the_packet_behind_it() {
    let packet = [7; 40];
    let relayed = Message::Relay(header(&[0, 1]).owner_confirmed(true));
    let bytes = relayed.encode(&packet);
    assert_eq!(Message::decode(&bytes), Ok((relayed, packet.as_slice())));

    let others = [
        Message::Report(report(0, 3, AgentStatus::Ready, 9)),
        Message::Introduced(report(0, 3, AgentStatus::Waiting, 9)),
        Message::FlowOwned {
            agent: agent(0),
            flow: flow(1),
            open: true,
        },
        Message::Query {
            balancer: balancer(0),
            number: 7,
            questions: vec![question(1), question(2)],
        },
        Message::Answer {
            agent: agent(0),
            number: 7,
            answers: vec![LookupAnswer::Unknown, LookupAnswer::Owned],
        },
        Message::FlowNotOwned {
            agent: agent(0),
            flow: flow(1),
        },
        Message::Probe {
            balancer: balancer(0),
        },
        Message::UnlistedQuery {
            balancer: balancer(0),
            number: 7,
        },
        Message::UnlistedAnswer {
            seed: balancer(1),
            number: 7,
            agents: vec![listing(0, SERVICE, 3), listing(1, SERVICE, 4)],
            all: true,
        },
    ];
    for message in others {
        let bytes = message.encode(&[]);
        let empty: &[u8] = &[];
        assert_eq!(Message::decode(&bytes), Ok((message.clone(), empty)));
        assert!(Message::decode(&message.encode(&[0])).is_err());
    }
}

fn question(number: u16) -> Question {
    Question {
        flow: flow(number),
        acknowledged: u32::MAX,
    }
}

#[test]
fn a_query_with_one_question_is_small() {
    const MAX_BYTES: usize = 48;
    let query = Message::Query {
        balancer: balancer(0),
        number: u32::MAX,
        questions: vec![question(u16::MAX)],
    };
    assert!(query.encode(&[]).len() <= MAX_BYTES);
}

#[test]
fn the_largest_query_fits_into_a_datagram() {
    const MAX_BYTES: usize = 1_300;
    let query = Message::Query {
        balancer: balancer(0),
        number: u32::MAX,
        questions: vec![question(u16::MAX); QueryBatch::MAX_QUESTIONS],
    };
    assert!(query.encode(&[]).len() <= MAX_BYTES);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in vec(any::<u8>(), 0..200)) {
        if let Ok((message, packet)) = Message::decode(&bytes) {
            // A number has several encodings, so the bytes may differ, but the decoded message is
            // the same.
            let again = message.encode(packet);
            prop_assert_eq!(Message::decode(&again), Ok((message, packet)));
        }
    }
}
