use std::time::{Duration, Instant};

use error_stack::Report;

use crate::{
    CtlError, ExitStatus,
    connection::Connection,
    fleet::{self, AdminClient, NodeVersion},
    options::Options,
    output,
};

/// Pause between two rounds of asking.
const ROUND_PAUSE: Duration = Duration::from_secs(1);

/// Prints one line for each change of a version or state.
pub(super) async fn run(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let connection = Connection::new(options)?;
    let client = AdminClient::new();
    let clock = Instant::now();
    let mut seen: Vec<NodeVersion> = Vec::new();
    loop {
        match fleet::roster(&client, &connection.admin).await {
            Err(report) if *report.current_context() == CtlError::Usage => return Err(report),
            Err(report) => output::line(format_args!("event=unreachable reason=\"{report:#}\"")),
            Ok(roster) => {
                let now = fleet::versions(&client, fleet::nodes(&roster)).await;
                print_changes(&seen, &now);
                seen = now;
            }
        }
        if options.run_for.is_some_and(|end| clock.elapsed() >= end) {
            return Ok(ExitStatus::Done);
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

fn print_changes(before: &[NodeVersion], now: &[NodeVersion]) {
    for it in now {
        if !before.contains(it) {
            print_line("node", it);
        }
    }
    for it in before {
        if !now.iter().any(|other| other.node.admin == it.node.admin) {
            print_line("gone", it);
        }
    }
}

fn print_line(event: &str, it: &NodeVersion) {
    let node = &it.node;
    let version = it.version.map_or("none".to_owned(), |it| it.to_string());
    output::line(format_args!(
        "event={event} name={} role={} state={} version={version} admin={}",
        node.name,
        node.role.name(),
        node.state,
        node.admin
    ));
}
