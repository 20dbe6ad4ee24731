use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use futures_util::future;
use serde_json::Value;
use tokio::{time, time::Instant};

use crate::{admin, deployment::LiveNodes};

/// Time between two queries of the daemons' configuration versions.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a configuration is reported as not in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the highest configuration version in force at any running daemon.
pub(super) async fn highest_version(live: &LiveNodes) -> u64 {
    let versions = fetch_versions(live).await.into_iter();
    versions.map(|(_, version)| version).max().unwrap_or(0)
}

/// Result of waiting for a configuration to be in force.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct InForce {
    /// Time from the start of the change to the end of the wait, in seconds.
    pub(super) seconds: f64,
    /// Daemons without the configuration when the wait timed out.
    pub(super) lagging: Vec<Arc<str>>,
}

/// Waits until every running daemon has a version above `old` in force, or until the timeout.
///
/// `start` is the time at which the change was started.
pub(super) async fn wait_until_in_force(live: &LiveNodes, old: u64, start: Instant) -> InForce {
    let end = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let lagging: Vec<_> = fetch_versions(live)
            .await
            .into_iter()
            .filter(|(_, version)| *version <= old)
            .map(|(name, _)| name)
            .collect();
        if lagging.is_empty() || Instant::now() > end {
            return InForce {
                seconds: start.elapsed().as_secs_f64(),
                lagging,
            };
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Queries the configuration version in force at every running daemon.
async fn fetch_versions(live: &LiveNodes) -> Vec<(Arc<str>, u64)> {
    let nodes = live.admin_addresses().into_iter();
    future::join_all(nodes.map(|(name, admin)| async move { (name, fetch_version(admin).await) }))
        .await
}

/// Returns the configuration version in force at a daemon, or 0 if the daemon does not answer.
async fn fetch_version(admin: SocketAddrV4) -> u64 {
    let Ok(text) = admin::get(admin.into(), "/config").await else {
        return 0;
    };
    let view: Value = serde_json::from_str(&text).unwrap_or_default();
    view["version"].as_u64().unwrap_or(0)
}
