use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use arbutus_io::admin::views::{ConfigView, RosterView};
use error_stack::Report;
use futures_util::{StreamExt, stream};
use indexmap::IndexMap;

use super::{AdminClient, Node, NodeVersion, Role};
use crate::CtlError;

/// The maximum number of nodes that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// The pause between two rounds of queries.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the roster of the first admin port that responds.
pub(crate) async fn roster(
    client: &AdminClient,
    admin: &[SocketAddr],
) -> Result<RosterView, Report<CtlError>> {
    let hint = "--admin is missing, and `.arbutusctl.jsonc` does not name one";
    let mut failure = Report::new(CtlError::Usage).attach(hint);
    for address in admin {
        match client.get(*address, "/roster").await {
            Ok(roster) => return Ok(roster),
            Err(report) => failure = report,
        }
    }
    Err(failure)
}

/// Returns the nodes in a roster, sorted by role and name, without those in the state `gone`.
pub(crate) fn nodes(roster: &RosterView) -> Vec<Node> {
    let balancers = roster.balancers.iter().map(|it| Node {
        name: it.name.clone(),
        role: Role::Balancer,
        admin: it.admin,
        failure_domain: it.failure_domain.clone(),
        state: it.state.clone(),
    });
    let agents = roster.agents.iter().map(|it| Node {
        name: it.name.clone(),
        role: Role::Agent,
        admin: it.admin,
        failure_domain: it.failure_domain.clone(),
        state: it.state.clone(),
    });
    let present = balancers.chain(agents).filter(|it| &*it.state != "gone");
    let mut present: Vec<_> = present.collect();
    present.sort_by(|left, right| (left.role, &left.name).cmp(&(right.role, &right.name)));
    present
}

/// Queries each of `nodes` for the version that it has in force.
pub(crate) async fn versions(client: &AdminClient, nodes: Vec<Node>) -> Vec<NodeVersion> {
    let query = |node: Node| async move {
        let view: Result<ConfigView, _> = client.get(node.admin, "/config").await;
        let version = view.ok().map(|view| view.version);
        NodeVersion { node, version }
    };
    stream::iter(nodes.into_iter().map(query))
        .buffered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await
}

/// Returns the highest version that the nodes at `admin` have in force; 0 if none responds.
pub(crate) async fn highest_version(client: &AdminClient, admin: &[SocketAddr]) -> u64 {
    let query = |address: &SocketAddr| {
        let address = *address;
        async move { client.get::<ConfigView>(address, "/config").await }
    };
    let views: Vec<_> = stream::iter(admin.iter().map(query))
        .buffered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await;
    let versions = views.into_iter().flatten().map(|view| view.version);
    versions.max().unwrap_or(0)
}

/// Waits until every node has `version` in force or `timeout` has passed.
///
/// `progress` is called in each round with the number of nodes that have the version and of all
/// nodes.
///
/// A node that has the version is not queried again. The roster is read again in each round, so
/// that nodes that have left or no longer respond are not waited for.
pub(crate) async fn wait_for_version(
    client: &AdminClient,
    admin: &[SocketAddr],
    version: u64,
    timeout: Duration,
    mut progress: impl FnMut(usize, usize),
) -> Result<Vec<NodeVersion>, Report<CtlError>> {
    let started = Instant::now();
    let mut previous = IndexMap::<SocketAddr, NodeVersion>::new();
    loop {
        let present = nodes(&roster(client, admin).await?);
        let (up_to_date, outdated): (Vec<_>, Vec<_>) = present.into_iter().partition(|node| {
            let seen = previous.get(&node.admin);
            seen.is_some_and(|it| it.node == *node && it.is_at_least(version))
        });
        let up_to_date = up_to_date
            .iter()
            .filter_map(|node| previous.get(&node.admin).cloned());
        let round: Vec<_> = up_to_date.chain(versions(client, outdated).await).collect();
        let in_force = round.iter().filter(|it| it.is_at_least(version)).count();
        progress(in_force, round.len());
        let settled = round.iter().all(|it| it.is_settled(version));
        if settled || started.elapsed() >= timeout {
            return Ok(round);
        }
        previous = round.into_iter().map(|it| (it.node.admin, it)).collect();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
