use std::net::{Ipv4Addr, SocketAddrV4};

use arbutus_core::{
    apply::{
        Action, ApplyMachine, Base, ChangeId, ChangeRecord, Event, Outcome, Services, StoredConfig,
    },
    config::{ConfigVersion, Service, Snapshot},
    time::Timestamp,
};

use super::fake_store::{FakeStore, Fault};

/// A change that an operator has started, driven step by step against a [`FakeStore`].
#[derive(Debug)]
pub struct ChangeInProgress {
    pub id: ChangeId,
    pub base: Base,
    pub apply: ApplyMachine,
    pub action: Action,
}

impl ChangeInProgress {
    /// Begins a change from `base` to `desired`.
    pub fn begin(id: ChangeId, base: Base, desired: Services, now: Timestamp) -> Self {
        let change = ChangeRecord::new(id, "operator", 0);
        let mut apply = ApplyMachine::new(base.clone(), desired, change, 1);
        let action = apply.handle(Event::Started, now);
        Self {
            id,
            base,
            apply,
            action,
        }
    }

    /// Performs the requested action under `fault`; a wait advances `now` to the next wakeup.
    pub fn step(&mut self, store: &mut FakeStore, fault: Fault, now: &mut Timestamp) {
        if self.action == Action::Wait {
            *now = (*now).max(
                self.apply
                    .next_wakeup()
                    .expect("a waiting machine has a wakeup time"),
            );
        }
        let event = store.perform(&self.action, fault);
        self.action = self.apply.handle(event, *now);
        if let Action::Finish(outcome) = &self.action {
            store.delete(outcome.obsolete());
        }
    }

    /// Returns the outcome once the change has ended.
    pub fn outcome(&self) -> Option<&Outcome> {
        match &self.action {
            Action::Finish(outcome) => Some(outcome),
            _ => None,
        }
    }
}

/// Returns the base of an operator who has just read the store.
pub fn base_of(stored: &StoredConfig) -> Base {
    Base {
        version: stored.version(),
        change: stored.index.as_ref().map(|index| index.change.id),
        services: stored.plain_services(),
        highest_seen: stored.version(),
    }
}

/// Creates services from words of the form `name` or `name/slots`.
pub fn services<'a>(words: impl IntoIterator<Item = &'a str>) -> Services {
    let service = |(port, word): (u16, &str)| {
        let (name, slots) = word.split_once('/').unwrap_or((word, "5"));
        let mut service = Service::new(name, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
        service.requests.slots = slots.parse().expect("a number of slots");
        service
    };
    Snapshot::new(ConfigVersion::NONE, (1..).zip(words).map(service)).services
}
