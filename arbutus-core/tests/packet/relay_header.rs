use arbutus_core::packet::RelayHeader;

use super::fixture::{agent, balancer, header};

#[test]
fn each_candidate_has_one_turn() {
    let mut header = header(&[0, 1, 0, 2, 1]);
    let mut turns = vec![header.target()];
    while let Some(next) = header.advance() {
        turns.push(Some(next));
    }
    assert_eq!(turns, [Some(agent(0)), Some(agent(1)), Some(agent(2))]);
    assert_eq!(header.advance(), None);
    assert_eq!(header.target(), None);
    assert_eq!(header.hops(), 3);
}

#[test]
fn the_number_of_hops_is_bounded_for_any_number_of_candidates() {
    let mut header = RelayHeader::new(balancer(0), (0..200).map(agent));
    let mut hops = 1;
    while header.advance().is_some() {
        hops += 1;
    }
    assert_eq!(hops, RelayHeader::MAX_CANDIDATES);
}

#[test]
fn a_header_without_candidates_has_no_target() {
    let mut header = RelayHeader::new(balancer(0), []);
    assert_eq!(header.target(), None);
    assert_eq!(header.advance(), None);
}
