//! The script language: a prefix names the operator's window.
//!
//! - `begin SERVICE[/SLOTS]… [allow-removal=true]` begins a change over the window's
//!   base;
//! - `step [FAULT]` performs what the machine asked for;
//! - `run [FAULT]` steps until the end;
//! - `many COUNT` makes that many changes without faults;
//! - `late` lets delayed swaps take effect;
//! - `base` takes up what the store holds; `store` shows it; `wipe` empties it.

use std::{collections::BTreeMap, error::Error, fmt::Write};

use arbutus_core::{
    apply::{Action, Base, ChangeId, Outcome},
    time::Timestamp,
};
use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use rstest::rstest;

use super::{
    desk::{Desk, base_of, services},
    fake_store::{FakeStore, Fault},
};

type Failure = Box<dyn Error>;

#[derive(Default)]
struct Script {
    store: FakeStore,
    bases: BTreeMap<String, Base>,
    desks: BTreeMap<String, Desk>,
    now: Timestamp,
    changes: u8,
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> Result<String, Failure> {
        let window = context.prefix.clone().unwrap_or_else(|| "a".to_owned());
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "begin" => self.begin(&window, &mut args),
            "step" => {
                let fault = fault(args.next_pos())?;
                self.step(&window, fault)?
            }
            "run" => {
                let fault = fault(args.next_pos())?;
                self.run_to_end(&window, fault)?
            }
            "many" => {
                let count = args.next_pos().unwrap_or("1").parse()?;
                self.make_many(count);
                String::new()
            }
            "late" => {
                self.store.deliver_late();
                String::new()
            }
            "base" => {
                let floor = self.bases.get(&window).map(|base| base.highest_seen);
                let mut base = base_of(&self.store.read());
                base.highest_seen = base.highest_seen.max(floor.unwrap_or_default());
                self.bases.insert(window, base);
                String::new()
            }
            "wipe" => {
                self.store = FakeStore::default();
                String::new()
            }
            "store" => self.show(),
            other => return Err(format!("no command {other}").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

impl Script {
    fn begin(&mut self, window: &str, args: &mut ArgumentConsumer) -> String {
        let allow = args.take_key("allow-removal").is_some();
        let mut words = Vec::new();
        while let Some(word) = args.next_pos() {
            words.push(word);
        }
        self.changes += 1;
        let id = ChangeId::new([self.changes; 16]);
        let base = self.bases.get(window).cloned().unwrap_or_default();
        let mut desk = Desk::begin(id, base, services(words), self.now);
        desk.apply = desk.apply.allow_removal(allow);
        let output = describe(&desk.action);
        self.desks.insert(window.to_owned(), desk);
        output
    }

    fn step(&mut self, window: &str, fault: Fault) -> Result<String, Failure> {
        let desk = self.desks.get_mut(window).ok_or("no change is under way")?;
        desk.step(&mut self.store, fault, &mut self.now);
        Ok(describe(&desk.action))
    }

    fn run_to_end(&mut self, window: &str, fault: Fault) -> Result<String, Failure> {
        loop {
            let output = self.step(window, fault)?;
            if self.desks[window].outcome().is_some() {
                return Ok(output);
            }
        }
    }

    fn make_many(&mut self, count: u32) {
        for number in 0..count {
            let word = format!("lookup/{}", number + 1_000);
            let wanted = services([word.as_str()]);
            let base = base_of(&self.store.read());
            let id = u128::MAX - u128::from(base.version.get());
            let id = ChangeId::new(id.to_be_bytes());
            let mut desk = Desk::begin(id, base, wanted, self.now);
            while desk.outcome().is_none() {
                desk.step(&mut self.store, Fault::None, &mut self.now);
            }
        }
    }

    fn show(&self) -> String {
        let stored = self.store.read();
        let mut output = format!("version {}\n", stored.version());
        for it in stored.services.values() {
            let service = &it.service;
            let (name, slots) = (&service.name, service.requests.slots);
            let _ = writeln!(output, "{name}={slots} changed at {}", it.changed_at);
        }
        output
    }
}

fn describe(action: &Action) -> String {
    let mut text = match action {
        Action::Read => "read".to_owned(),
        Action::WriteShards(shards) => format!("write {} shards", shards.len()),
        Action::SwapIndex { expected, .. } => format!("swap over revision {}", expected.get()),
        Action::Wait => "wait".to_owned(),
        Action::Finish(outcome) => describe_outcome(outcome),
    };
    text.push('\n');
    text
}

fn describe_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted {
            version,
            superseded_by,
            ..
        } => match superseded_by {
            None => format!("accepted as {version}"),
            Some(later) => format!("accepted as {version}, and {later} followed"),
        },
        Outcome::AlreadyInForce { version } => format!("already in force as {version}"),
        Outcome::LostRace {
            version, theirs, ..
        } => {
            let theirs: Vec<_> = theirs.iter().map(ToString::to_string).collect();
            format!("lost to {version}: {}", theirs.join("; "))
        }
        Outcome::RemovalRefused { services } => format!("would remove {}", services.join(", ")),
        Outcome::TooLarge { shard, .. } => format!("shard {shard} is too large"),
        Outcome::NotAccepted { reason } => format!("not accepted: {reason}"),
        Outcome::Unknown { reason } => format!("unknown: {reason}"),
    }
}

fn fault(word: Option<&str>) -> Result<Fault, Failure> {
    Ok(match word {
        None => Fault::None,
        Some("refused") => Fault::Refused,
        Some("lost") => Fault::Lost,
        Some("answer-lost") => Fault::AnswerLost,
        Some("late") => Fault::Late,
        Some(other) => return Err(format!("no fault {other}").into()),
    })
}

#[rstest]
fn a_scenario_goes_as_its_script_says(#[files("tests/apply/scripts/*")] path: std::path::PathBuf) {
    goldenscript::run(&mut Script::default(), path).expect("the script holds");
}
