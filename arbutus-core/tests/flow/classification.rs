use arbutus_core::{
    cid::{self, FlowOwner},
    flow::{self, DatagramClass, FlowDrop},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::fleet::{header, tag, tunnel};

struct Owner {
    agent: usize,
    service: &'static str,
    incarnation: u64,
}

const OWN: Owner = Owner {
    agent: 0,
    service: "lookup",
    incarnation: 1,
};

impl Owner {
    fn flow_owner(&self) -> FlowOwner {
        let tag = ServiceTag::of_name(self.service);
        FlowOwner::new(tunnel(self.agent), tag, Incarnation::new(self.incarnation))
    }
}

fn keys() -> KeyRing {
    KeyRing::single(SystemKey::derive(&[3; SystemKey::SECRET_BYTES]))
}

fn short_packet(owner: &Owner) -> Vec<u8> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut packet = vec![0x40];
    packet.extend(cid::encode(&owner.flow_owner(), &keys(), &mut rng));
    packet
}

#[rstest]
#[case::own(OWN, DatagramClass::Established)]
#[case::earlier_incarnation(Owner { incarnation: 7, ..OWN }, DatagramClass::EarlierIncarnation)]
#[case::other_agent(Owner { agent: 1, ..OWN }, DatagramClass::Drop(FlowDrop::OtherAgent))]
#[case::other_service(
    Owner { service: "tables", ..OWN },
    DatagramClass::Drop(FlowDrop::WrongService)
)]
fn a_packet_is_established_only_at_its_owner(
    #[case] owner: Owner,
    #[case] expected: DatagramClass<'static>,
) {
    let packet = short_packet(&owner);
    let class = flow::classify(&OWN.flow_owner(), &keys(), header(&[], 0), &packet);
    assert_eq!(class, expected);
}

#[test]
fn a_header_of_another_service_is_dropped_for_any_packet() {
    let mut header = header(&[], 0);
    header.tag = ServiceTag::of_name("tables");
    assert_ne!(header.tag, tag());
    let packet = short_packet(&OWN);
    let class = flow::classify(&OWN.flow_owner(), &keys(), header, &packet);
    assert_eq!(class, DatagramClass::Drop(FlowDrop::WrongService));
}

#[rstest]
#[case::empty(&[], FlowDrop::Malformed)]
#[case::truncated(&[0x40, 1, 2], FlowDrop::Malformed)]
#[case::foreign(&[0x40; 60], FlowDrop::ForeignId)]
fn a_packet_without_owner_is_dropped(#[case] packet: &[u8], #[case] expected: FlowDrop) {
    let class = flow::classify(&OWN.flow_owner(), &keys(), header(&[], 0), packet);
    assert_eq!(class, DatagramClass::Drop(expected));
}
