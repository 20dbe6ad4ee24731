use std::time::{Duration, Instant};

use error_stack::Report;

use crate::{
    CtlError, ExitStatus,
    connection::Connection,
    fleet::{self, AdminClient, NodeVersion},
    options::Options,
    output,
};

/// The interval at which the nodes are queried.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Prints one line for each change of a node's version or state.
pub(super) async fn run(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let connection = Connection::new(options)?;
    let client = AdminClient::new();
    let started = Instant::now();
    let mut previous: Vec<NodeVersion> = Vec::new();
    loop {
        match fleet::roster(&client, &connection.admin).await {
            Err(report) if *report.current_context() == CtlError::Usage => return Err(report),
            Err(report) => output::line(format_args!("event=unreachable reason=\"{report:#}\"")),
            Ok(roster) => {
                let current = fleet::versions(&client, fleet::nodes(&roster)).await;
                print_changes(&previous, &current);
                previous = current;
            }
        }
        if options
            .watch_duration
            .is_some_and(|duration| started.elapsed() >= duration)
        {
            return Ok(ExitStatus::Done);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn print_changes(previous: &[NodeVersion], current: &[NodeVersion]) {
    for node in current {
        if !previous.contains(node) {
            print_line("node", node);
        }
    }
    for old in previous {
        if !current.iter().any(|new| new.node.admin == old.node.admin) {
            print_line("gone", old);
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
