//! The cases of the review that are scripts. `cases NAME FOLDER` plays one and writes its record.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod backend;
mod caller;
mod config_storm;
mod deployment;
mod hold;
mod http;
mod json;
mod late_heartbeat;
mod late_leave;
mod packet;
mod partial_view;
mod record;
mod store;

use std::{path::Path, process::ExitCode, sync::Arc, thread, time::Duration};

use record::Record;

/// A case takes no longer than this.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The verdict of a case: whether the rule was broken.
type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = args.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    record.say(&format!("case {name}, trouble {trouble}"));
    let case: fn(&Arc<Record>, bool) -> Verdict = match name.as_str() {
        "config-storm" => config_storm::play,
        "late-heartbeat" => late_heartbeat::play,
        "late-leave" => late_leave::play,
        "partial-view" => partial_view::play,
        _ => return ExitCode::from(2),
    };
    let played = record.clone();
    let player = thread::spawn(move || case(&played, trouble));
    let started_at = std::time::Instant::now();
    while !player.is_finished() && started_at.elapsed() < TIME_LIMIT {
        thread::sleep(Duration::from_millis(50));
    }
    if !player.is_finished() {
        record.say("the case took too long");
        deployment::end_started_processes();
        return ExitCode::from(2);
    }
    match player.join() {
        Ok(Ok(true)) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Ok(false)) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Err(err)) => {
            record.say(&format!("the case could not run: {err}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.say("the case could not run: it panicked");
            ExitCode::from(2)
        }
    }
}
