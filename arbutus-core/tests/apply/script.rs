//! Scripted scenarios. The prefix of a command is the name of the operator, by default `a`.
//!
//! - `begin SERVICE[/SLOTS]… [allow-removal=true]` begins a change from the operator's base;
//! - `step [FAULT]` performs the action that the machine requested;
//! - `run [FAULT]` performs actions until the change ends;
//! - `many COUNT` commits that many changes without faults;
//! - `late` lets delayed swaps take effect;
//! - `base` sets the operator's base to the stored configuration;
//! - `store` shows the stored configuration; `wipe` empties the store.

use std::{collections::BTreeMap, error::Error, fmt::Write};

use arbutus_core::{
    apply::{Action, Base, ChangeId, Outcome},
    time::Timestamp,
};
use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use rstest::rstest;

use super::{
    change_in_progress::{ChangeInProgress, base_of, services},
    fake_store::{FakeStore, Fault},
};

type Failure = Box<dyn Error>;

#[derive(Default)]
struct Script {
    store: FakeStore,
    bases: BTreeMap<String, Base>,
    in_progress: BTreeMap<String, ChangeInProgress>,
    now: Timestamp,
    change_count: u8,
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> Result<String, Failure> {
        let operator = context.prefix.clone().unwrap_or_else(|| "a".to_owned());
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "begin" => self.begin(&operator, &mut args),
            "step" => {
                let fault = parse_fault(args.next_pos())?;
                self.step(&operator, fault)?
            }
            "run" => {
                let fault = parse_fault(args.next_pos())?;
                self.run_to_end(&operator, fault)?
            }
            "many" => {
                let count = args.next_pos().unwrap_or("1").parse()?;
                self.commit_many(count);
                String::new()
            }
            "late" => {
                self.store.deliver_late();
                String::new()
            }
            "base" => {
                let highest_seen = self.bases.get(&operator).map(|base| base.highest_seen);
                let mut base = base_of(&self.store.read());
                base.highest_seen = base.highest_seen.max(highest_seen.unwrap_or_default());
                self.bases.insert(operator, base);
                String::new()
            }
            "wipe" => {
                self.store = FakeStore::default();
                String::new()
            }
            "store" => self.describe_store(),
            other => return Err(format!("unknown command `{other}`").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

impl Script {
    fn begin(&mut self, operator: &str, args: &mut ArgumentConsumer) -> String {
        let allow = args.take_key("allow-removal").is_some();
        let mut words = Vec::new();
        while let Some(word) = args.next_pos() {
            words.push(word);
        }
        self.change_count += 1;
        let id = ChangeId::new([self.change_count; 16]);
        let base = self.bases.get(operator).cloned().unwrap_or_default();
        let mut change = ChangeInProgress::begin(id, base, services(words), self.now);
        change.apply = change.apply.allow_removal(allow);
        let output = describe(&change.action);
        self.in_progress.insert(operator.to_owned(), change);
        output
    }

    fn step(&mut self, operator: &str, fault: Fault) -> Result<String, Failure> {
        let change = self
            .in_progress
            .get_mut(operator)
            .ok_or("the operator has no change in progress")?;
        change.step(&mut self.store, fault, &mut self.now);
        Ok(describe(&change.action))
    }

    fn run_to_end(&mut self, operator: &str, fault: Fault) -> Result<String, Failure> {
        loop {
            let output = self.step(operator, fault)?;
            if self.in_progress[operator].outcome().is_some() {
                return Ok(output);
            }
        }
    }

    fn commit_many(&mut self, count: u32) {
        for number in 0..count {
            let word = format!("lookup/{}", number + 1_000);
            let desired = services([word.as_str()]);
            let base = base_of(&self.store.read());
            let id = u128::MAX - u128::from(base.version.get());
            let id = ChangeId::new(id.to_be_bytes());
            let mut change = ChangeInProgress::begin(id, base, desired, self.now);
            while change.outcome().is_none() {
                change.step(&mut self.store, Fault::None, &mut self.now);
            }
        }
    }

    fn describe_store(&self) -> String {
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

fn parse_fault(word: Option<&str>) -> Result<Fault, Failure> {
    Ok(match word {
        None => Fault::None,
        Some("refused") => Fault::Refused,
        Some("lost") => Fault::Lost,
        Some("answer-lost") => Fault::AnswerLost,
        Some("late") => Fault::Late,
        Some(other) => return Err(format!("unknown fault `{other}`").into()),
    })
}

#[rstest]
fn output_matches_the_script(#[files("tests/apply/scripts/*")] path: std::path::PathBuf) {
    goldenscript::run(&mut Script::default(), path).expect("the output matches the script");
}
