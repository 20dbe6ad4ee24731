use std::{net::SocketAddrV4, time::Duration};

use error_stack::{Report, ResultExt};
use serde_json::Value;
use tokio::time;

use super::{Deployment, layout, running::log_path};
use crate::{admin, error::LabError};

/// Time in which nodes must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Readiness of nodes.
impl Deployment {
    /// Waits until the daemon at `admin` reports that it is healthy.
    pub(super) async fn wait_for_health(
        &mut self,
        admin: SocketAddrV4,
        name: &str,
    ) -> Result<(), Report<LabError>> {
        let ready = async {
            while admin::get(admin.into(), "/health").await.is_err() {
                time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        time::timeout(READY_TIMEOUT, ready)
            .await
            .change_context(LabError::NotReady)
            .attach_with(|| {
                format!(
                    "{name}: see {}",
                    log_path(self.folder.path(), name).display()
                )
            })
    }

    /// Waits until every balancer lists every agent as ready in its roster.
    pub(super) async fn wait_for_roster(&self) -> Result<(), Report<LabError>> {
        let agents = self.agents.len();
        let ready = async {
            for number in self.balancers.keys() {
                let admin = layout::admin_listen(self.layout.balancer_host(*number));
                while ready_agents(admin).await < agents {
                    time::sleep(READY_POLL_INTERVAL).await;
                }
            }
        };
        time::timeout(READY_TIMEOUT, ready)
            .await
            .change_context(LabError::NotReady)
            .attach("a balancer does not list every agent as ready")
    }
}

/// Returns the number of ready agents in the roster of a balancer, or 0 if it does not answer.
async fn ready_agents(admin: SocketAddrV4) -> usize {
    let Ok(text) = admin::get(admin.into(), "/roster").await else {
        return 0;
    };
    let roster: Value = serde_json::from_str(&text).unwrap_or_default();
    let agents = roster["agents"].as_array().map_or(&[][..], Vec::as_slice);
    agents.iter().filter(|it| it["state"] == "ready").count()
}
