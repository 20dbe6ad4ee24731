//! The store's client and the commit of changes against the store's stand-in, over loopback.

use std::{net::Ipv4Addr, time::Duration};

use arbutus_core::{
    apply::{
        ApplyMachine, Base, ChangeId, ChangeRecord, Outcome, RetryPolicy, Services, StoredConfig,
        SwapResult,
    },
    config::{ConfigVersion, Service, Snapshot},
};
use arbutus_io::store::{ConfigReader, StoreClient, StoreError, commit};
use arbutus_lab::store::{Fault, KeyFilter, StoreStandIn};
use arbutus_settings::store::StoreSettings;
use rstest::rstest;

struct Desk {
    store: StoreStandIn,
    settings: StoreSettings,
    give_up_after: Duration,
}

impl Desk {
    async fn open() -> Self {
        let store = StoreStandIn::start((Ipv4Addr::LOCALHOST, 0).into())
            .await
            .expect("a free port");
        let settings = StoreSettings::new(&store.url()).timeout(Duration::from_secs(1));
        Self {
            store,
            settings,
            give_up_after: Duration::from_secs(20),
        }
    }

    /// Applies `services` under the ID made of `id`, over `base`.
    async fn apply(&self, id: u8, base: Base, services: &Services) -> Outcome {
        let change = ChangeRecord::new(ChangeId::new([id; 16]), "desk", 0);
        let tunables = RetryPolicy::new().retry_timeout(self.give_up_after);
        let apply = ApplyMachine::new(base, services.clone(), change, 1).retry_policy(tunables);
        commit(&self.settings, apply).await
    }

    async fn read(&self) -> StoredConfig {
        let mut reader = ConfigReader::new(&self.settings);
        reader.read().await.expect("a readable store")
    }
}

fn services(names: &[&str]) -> Services {
    let service = |(port, name): (u16, &&str)| {
        Service::new(name, std::net::SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
    };
    Snapshot::new(ConfigVersion::NONE, (1..).zip(names).map(service)).services
}

fn base_of(stored: &StoredConfig) -> Base {
    Base {
        version: stored.version(),
        change: stored.index.as_ref().map(|index| index.change.id),
        services: stored.plain_services(),
        highest_seen: stored.version(),
    }
}

fn accepted(outcome: &Outcome) -> Option<u64> {
    match outcome {
        Outcome::Accepted { version, .. } => Some(version.get()),
        _ => None,
    }
}

#[tokio::test]
async fn an_accepted_change_is_read_back_whole() {
    let desk = Desk::open().await;
    let wanted = services(&["lookup", "tables"]);
    let outcome = desk.apply(1, Base::default(), &wanted).await;
    assert_eq!(accepted(&outcome), Some(1));
    let stored = desk.read().await;
    assert_eq!(stored.version(), ConfigVersion::new(1));
    assert_eq!(stored.plain_services(), wanted);
}

#[tokio::test]
async fn a_reader_fetches_only_the_shards_that_changed() {
    let desk = Desk::open().await;
    let names: Vec<String> = (0..200).map(|number| format!("service-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut wanted = services(&names);
    desk.apply(1, Base::default(), &wanted).await;
    let mut reader = ConfigReader::new(&desk.settings);
    let first = reader.read().await.expect("a readable store");

    let changed = std::sync::Arc::make_mut(&mut wanted[7]);
    changed.requests.slots = 9;
    let tag = changed.tag();
    desk.apply(2, base_of(&first), &wanted).await;

    let before = desk.store.counts().reads;
    let second = reader.read().await.expect("a readable store");
    let shard_and_index = 2;
    assert_eq!(desk.store.counts().reads - before, shard_and_index);
    assert_eq!(second.plain_services(), wanted);
    for (other, service) in &second.services {
        let version = if *other == tag { 2 } else { 1 };
        assert_eq!(service.changed_at, ConfigVersion::new(version));
    }
}

struct FaultCase {
    fault: Fault,
    /// Whether the change must be accepted by the end.
    accepted: bool,
}

#[rstest]
#[case::the_answer_to_the_commit_is_lost(FaultCase {
    fault: Fault::LoseAnswer { key: KeyFilter::Index },
    accepted: true,
})]
#[case::the_answer_to_a_shard_is_lost(FaultCase {
    fault: Fault::LoseAnswer { key: KeyFilter::Any },
    accepted: true,
})]
#[case::the_commit_takes_effect_late(FaultCase {
    fault: Fault::LateWrite { delay_ms: 1_500, key: KeyFilter::Index },
    accepted: true,
})]
#[case::the_store_is_down_for_a_while(FaultCase {
    fault: Fault::Refuse { for_ms: 400 },
    accepted: true,
})]
#[case::the_store_hangs_for_a_while(FaultCase {
    fault: Fault::Hang { for_ms: 400 },
    accepted: true,
})]
#[case::the_store_is_slow(FaultCase {
    fault: Fault::Slow { delay_ms: 100, for_ms: 60_000 },
    accepted: true,
})]
#[case::the_store_is_down_for_long(FaultCase {
    fault: Fault::Refuse { for_ms: 60_000 },
    accepted: false,
})]
#[tokio::test]
async fn a_change_ends_in_a_true_report(#[case] case: FaultCase) {
    let mut desk = Desk::open().await;
    if !case.accepted {
        desk.give_up_after = Duration::from_secs(1);
    }
    desk.store.set_fault(case.fault);
    let wanted = services(&["lookup"]);
    let outcome = desk.apply(1, Base::default(), &wanted).await;
    desk.store.set_fault(Fault::None);
    let stored = desk.read().await;
    if case.accepted {
        assert_eq!(accepted(&outcome), Some(1));
        assert_eq!(stored.version(), ConfigVersion::new(1));
        assert_eq!(stored.index.map(|index| index.history.len()), Some(0));
    } else {
        assert!(matches!(outcome, Outcome::NotAccepted { .. }));
        assert_eq!(stored.version(), ConfigVersion::NONE);
    }
}

#[tokio::test]
async fn of_two_racing_operators_one_is_accepted_and_the_other_is_told() {
    let desk = Desk::open().await;
    let (left, right) = (services(&["lookup"]), services(&["tables"]));
    let (first, second) = tokio::join!(
        desk.apply(1, Base::default(), &left),
        desk.apply(2, Base::default(), &right),
    );
    let lost = |it: &Outcome| matches!(it, Outcome::LostRace { theirs, .. } if theirs.len() == 1);
    let (left_won, right_won) = (accepted(&first).is_some(), accepted(&second).is_some());
    assert!(left_won != right_won, "{first:?} {second:?}");
    assert!(if left_won {
        lost(&second)
    } else {
        lost(&first)
    });
    let winner = if left_won { left } else { right };
    assert_eq!(desk.read().await.plain_services(), winner);
}

#[tokio::test]
async fn a_watch_wakes_on_a_change_and_ends_without_one() {
    let desk = Desk::open().await;
    let mut reader = ConfigReader::new(&desk.settings);
    reader.read().await.expect("a readable store");
    let unchanged = reader.watch(Duration::from_millis(50)).await;
    assert_eq!(unchanged, Ok(None));

    let wanted = services(&["lookup"]);
    let long = Duration::from_secs(30);
    let (seen, _) = tokio::join!(reader.watch(long), desk.apply(1, Base::default(), &wanted));
    let stored = seen.expect("a readable store").expect("a change");
    assert_eq!(stored.version(), ConfigVersion::new(1));
    assert_eq!(desk.store.counts().watches, 2);
}

#[tokio::test]
async fn a_watch_that_goes_silent_ends_in_an_error() {
    let desk = Desk::open().await;
    desk.store.set_fault(Fault::SilentWatch { for_ms: 60_000 });
    let mut reader = ConfigReader::new(&desk.settings);
    reader.read().await.expect("a readable store");
    let seen = reader.watch(Duration::from_millis(50)).await;
    assert!(matches!(seen, Err(StoreError::Unknown(_))));
}

#[tokio::test]
async fn a_compare_and_swap_writes_once_and_turns_the_second_away() {
    let desk = Desk::open().await;
    let client = StoreClient::new(&desk.settings);
    let absent = arbutus_core::apply::Revision::ABSENT;
    let swap = async |value: &[u8]| client.compare_and_swap("key", absent, value.to_vec()).await;
    assert_eq!(swap(b"one").await, Ok(SwapResult::Done));
    assert_eq!(swap(b"two").await, Ok(SwapResult::Mismatch));
    let entry = client.get("key").await.expect("a readable store").entry;
    assert_eq!(entry.map(|entry| entry.value), Some(b"one".to_vec()));
}

#[tokio::test]
async fn a_value_past_a_megabyte_is_refused_and_not_written() {
    let desk = Desk::open().await;
    let client = StoreClient::new(&desk.settings);
    let written = client.put("key", vec![0; 1024 * 1024 + 1]).await;
    assert!(matches!(written, Err(StoreError::NotDone(_))));
    let lookup = client.get("key").await.expect("a readable store");
    assert_eq!(lookup.entry, None);
}

#[tokio::test]
async fn a_destroyed_session_cannot_be_renewed() {
    let desk = Desk::open().await;
    let client = StoreClient::new(&desk.settings);
    let session = client
        .create_session(Duration::from_secs(10))
        .await
        .expect("a session");
    assert_eq!(client.renew_session(&session).await, Ok(()));
    assert_eq!(client.destroy_session(&session).await, Ok(()));
    let renewed = client.renew_session(&session).await;
    assert!(matches!(renewed, Err(StoreError::NotDone(_))));
}
