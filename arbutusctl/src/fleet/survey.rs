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

/// How many nodes are asked at once.
const PARALLEL_ASKS: usize = 32;
/// Pause between two rounds of asking.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// The roster of the first admin port that answers.
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

/// The nodes of a roster by their roles and names, without those that have gone.
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

/// Asks each of `nodes` for the version it has in force.
pub(crate) async fn versions(client: &AdminClient, nodes: Vec<Node>) -> Vec<NodeVersion> {
    let ask = |node: Node| async move {
        let view: Result<ConfigView, _> = client.get(node.admin, "/config").await;
        let version = view.ok().map(|view| view.version);
        NodeVersion { node, version }
    };
    stream::iter(nodes.into_iter().map(ask))
        .buffered(PARALLEL_ASKS)
        .collect()
        .await
}

/// The highest version that the nodes at `admin` have in force; 0 where none answers.
pub(crate) async fn highest_version(client: &AdminClient, admin: &[SocketAddr]) -> u64 {
    let ask = |address: &SocketAddr| {
        let address = *address;
        async move { client.get::<ConfigView>(address, "/config").await }
    };
    let views: Vec<_> = stream::iter(admin.iter().map(ask))
        .buffered(PARALLEL_ASKS)
        .collect()
        .await;
    let versions = views.into_iter().flatten().map(|view| view.version);
    versions.max().unwrap_or(0)
}

/// Waits until every node has `version` in force, or `wait` is over; `progress` is told the number
/// of those that have it and of all.
///
/// A node that has it is not asked again. The roster is read anew in each round, so that a node
/// that went or is not heard any more is not waited for.
pub(crate) async fn wait_for_version(
    client: &AdminClient,
    admin: &[SocketAddr],
    version: u64,
    wait: Duration,
    mut progress: impl FnMut(usize, usize),
) -> Result<Vec<NodeVersion>, Report<CtlError>> {
    let clock = Instant::now();
    let mut known = IndexMap::<SocketAddr, NodeVersion>::new();
    loop {
        let present = nodes(&roster(client, admin).await?);
        let (kept, asked): (Vec<_>, Vec<_>) = present.into_iter().partition(|node| {
            let seen = known.get(&node.admin);
            seen.is_some_and(|it| it.node == *node && it.has(version))
        });
        let kept = kept
            .iter()
            .filter_map(|node| known.get(&node.admin).cloned());
        let round: Vec<_> = kept.chain(versions(client, asked).await).collect();
        let in_force = round.iter().filter(|it| it.has(version)).count();
        progress(in_force, round.len());
        let settled = round.iter().all(|it| it.is_settled(version));
        if settled || clock.elapsed() >= wait {
            return Ok(round);
        }
        known = round.into_iter().map(|it| (it.node.admin, it)).collect();
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}
