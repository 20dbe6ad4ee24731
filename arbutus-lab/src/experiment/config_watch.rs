use std::{net::SocketAddrV4, time::Duration};

use futures_util::future;
use serde_json::Value;
use tokio::{time, time::Instant};

use crate::{admin, deployment::LiveNodes};

const POLL: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(60);

/// The highest configuration version in force at any daemon.
pub(super) async fn highest_version(live: &LiveNodes) -> u64 {
    versions(live).await.into_iter().max().unwrap_or(0)
}

/// Waits until every daemon that runs has a version above `old` in force, or a limit is over; the
/// result is the time since `start`, in seconds.
pub(super) async fn in_force_s(live: &LiveNodes, old: u64, start: Instant) -> f64 {
    let everywhere = async {
        while versions(live)
            .await
            .into_iter()
            .any(|version| version <= old)
        {
            time::sleep(POLL).await;
        }
    };
    let _ = time::timeout(LIMIT, everywhere).await;
    start.elapsed().as_secs_f64()
}

async fn versions(live: &LiveNodes) -> Vec<u64> {
    let nodes = live.all();
    future::join_all(nodes.into_values().map(version)).await
}

async fn version(admin: SocketAddrV4) -> u64 {
    let Ok(text) = admin::get(admin.into(), "/config").await else {
        return 0;
    };
    let view: Value = serde_json::from_str(&text).unwrap_or_default();
    view["version"].as_u64().unwrap_or(0)
}
