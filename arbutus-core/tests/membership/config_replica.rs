//! Propagation of configurations between replicas by pages.

use std::net::{Ipv4Addr, SocketAddrV4};

use arbutus_core::{
    config::{ConfigVersion, Service, Snapshot},
    config_sync::{ConfigReplica, PageOutcome},
};
use proptest::prelude::*;
use rstest::rstest;

/// The contents of a configuration: for each of a few services its queue length, or `None` if the
/// configuration does not contain the service.
type Contents = [Option<u8>; 4];

fn snapshot(version: u64, contents: Contents) -> Snapshot {
    let services = (0_u8..).zip(contents).filter_map(|(index, queue)| {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, index), 443);
        let mut service = Service::new(&format!("service-{index}"), address);
        service.requests.queue = u32::from(queue?);
        Some(service)
    });
    Snapshot::new(ConfigVersion::new(version), services)
}

/// Pulls pages until the other replica's configuration is in force, and returns their number.
fn pull_until_current(replica: &mut ConfigReplica, other: &ConfigReplica) -> usize {
    let mut pull = replica.pull();
    for pages in 1..100 {
        match replica.on_page(other.page(pull)) {
            PageOutcome::Pull(next) => pull = next,
            PageOutcome::Adopted | PageOutcome::Ignored => return pages,
        }
    }
    panic!("the other replica did not run out of pages");
}

struct Versions {
    /// Versions that the pulling replica has read.
    own: &'static [(u64, Contents)],
    /// Versions that the other replica has read.
    other: &'static [(u64, Contents)],
}

#[rstest]
#[case::a_removal_skipped_by_the_other_replica(Versions {
    own: &[(3, [Some(1), Some(1), None, None])],
    other: &[(2, [Some(1), None, None, None]), (4, [Some(1), None, None, None])],
})]
#[case::an_addition_skipped_by_the_other_replica(Versions {
    own: &[(2, [Some(1), None, None, None])],
    other: &[(1, [Some(1), Some(1), None, None]), (3, [Some(1), Some(1), None, None])],
})]
#[case::a_change_that_was_reverted(Versions {
    own: &[(2, [Some(7), None, None, None])],
    other: &[(1, [Some(1), None, None, None]), (3, [Some(1), None, None, None])],
})]
#[case::versions_read_by_both_replicas(Versions {
    own: &[(1, [Some(1), None, Some(1), None])],
    other: &[(1, [Some(1), None, Some(1), None]), (2, [Some(2), Some(1), None, None])],
})]
fn a_replica_adopts_the_contents_of_the_replica_it_pulls_from(#[case] versions: Versions) {
    let (mut own, mut other) = (ConfigReplica::new(), ConfigReplica::new());
    for (version, contents) in versions.own {
        own.adopt_snapshot(&snapshot(*version, *contents));
    }
    for (version, contents) in versions.other {
        other.adopt_snapshot(&snapshot(*version, *contents));
    }
    pull_until_current(&mut own, &other);
    assert_eq!(own.snapshot(), other.snapshot());
}

#[rstest]
#[case::of_a_few_services(3, 1)]
#[case::of_many_services(1_000, 4)]
fn a_new_replica_pulls_a_whole_configuration(#[case] services: u32, #[case] min_pages: usize) {
    let services = (0..services).map(|index| {
        let address = SocketAddrV4::new(Ipv4Addr::from_bits(0x0a09_0000 + index), 443);
        Service::new(&format!("service-{index}"), address)
    });
    let mut other = ConfigReplica::new();
    other.adopt_snapshot(&Snapshot::new(ConfigVersion::new(9), services));
    let mut own = ConfigReplica::new();
    assert!(pull_until_current(&mut own, &other) >= min_pages);
    assert_eq!(own.snapshot(), other.snapshot());
}

#[rstest]
#[case::of_the_store(|replica: &mut ConfigReplica| {
    replica.adopt_snapshot(&snapshot(4, [None; 4]));
})]
#[case::of_another_replica(|replica: &mut ConfigReplica| {
    let mut older = ConfigReplica::new();
    older.adopt_snapshot(&snapshot(4, [None; 4]));
    replica.on_page(older.page(ConfigReplica::new().pull()));
})]
fn an_older_configuration_is_ignored(#[case] offer: fn(&mut ConfigReplica)) {
    let mut replica = ConfigReplica::new();
    replica.adopt_snapshot(&snapshot(5, [Some(1); 4]));
    offer(&mut replica);
    assert_eq!(replica.version(), ConfigVersion::new(5));
    assert_eq!(replica.invariant_violations(), 0);
}

#[test]
fn different_contents_of_one_version_are_counted_as_a_violation() {
    let mut replica = ConfigReplica::new();
    replica.adopt_snapshot(&snapshot(5, [Some(1); 4]));
    replica.adopt_snapshot(&snapshot(5, [Some(2); 4]));
    assert_eq!(replica.invariant_violations(), 1);
}

proptest! {
    /// Replicas read some versions of a history and pull the rest from each other.
    #[test]
    fn replicas_hold_consistent_configurations_whatever_versions_they_skip(
        history in proptest::collection::vec(any::<[Option<bool>; 4]>(), 2..8),
        steps in proptest::collection::vec((0_usize..3, 0_usize..3, any::<bool>(), 0_usize..8), 0..24),
    ) {
        let history: Vec<Snapshot> = (1_u64..)
            .zip(&history)
            .map(|(version, contents)| snapshot(version, contents.map(|it| it.map(u8::from))))
            .collect();
        let mut replicas = [ConfigReplica::new(), ConfigReplica::new(), ConfigReplica::new()];
        for (own, other, reads, version) in steps {
            let mut replica = std::mem::take(&mut replicas[own]);
            if reads {
                replica.adopt_snapshot(&history[version % history.len()]);
            } else if own != other {
                pull_until_current(&mut replica, &replicas[other]);
            }
            let version = usize::try_from(replica.version().get()).expect("the version fits");
            if let Some(index) = version.checked_sub(1) {
                prop_assert_eq!(&**replica.snapshot(), &history[index]);
            }
            prop_assert_eq!(replica.invariant_violations(), 0);
            replicas[own] = replica;
        }
    }
}
