use std::{sync::Arc, time::Duration};

use arbutus_core::membership::{BalancerIdentity, BalancerNode, Settings};
use arbutus_settings::balancer::BalancerSettings;
use error_stack::{Report, ResultExt};
use parking_lot::Mutex;
use prometheus_client::registry::Registry;
use rand::Rng;

use super::{
    BalancerError, DataPath, control_task::ControlTask, store_task::StoreTask, views,
    workers::spawn_workers,
};
use crate::{
    admin::{self, AdminState},
    clock,
    control::ControlEndpoint,
    metrics::BalancerMetrics,
    shutdown,
};

/// Time without forwarded datagrams after which a stopping balancer exits.
const FABRIC_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time that a stopping balancer continues to forward datagrams.
const STOP_GRACE_PERIOD: Duration = Duration::from_secs(60);

/// Runs a balancer until SIGTERM or SIGINT.
///
/// A stopping balancer announces its departure to the others and continues to forward datagrams
/// until the fabric is idle or the grace period is over.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a certificate cannot be used.
pub async fn run(settings: BalancerSettings) -> Result<(), Report<BalancerError>> {
    let requested = shutdown::requested();
    let metrics = Arc::new(BalancerMetrics::default());
    let mut registry = Registry::default();
    metrics.register(&mut registry);

    let data_path = Arc::new(DataPath::new(
        settings.keys.clone(),
        settings.fabric_sources.clone(),
        metrics.clone(),
    ));
    spawn_workers(
        settings.workers,
        settings.fabric_listen,
        settings.tunnel_listen,
        &data_path,
    )?;
    let (control, events) = ControlEndpoint::open(
        settings.control_listen,
        &settings.control_tls,
        &settings.keys,
        &metrics.control,
    )
    .change_context(BalancerError::Control)?;

    let node = BalancerNode::new(
        Settings::new(),
        &identity(&settings),
        rand::rng().random(),
        clock::now(),
    );
    let node = Arc::new(Mutex::new(node));
    let state = admin_state(registry, &settings, &node);
    admin::serve(settings.admin_listen, state)
        .await
        .change_context(BalancerError::Admin)?;

    let (store, answers) = StoreTask::spawn(&settings.store);
    let task = ControlTask::new(node, data_path.clone(), control, store, metrics.clone());
    let stop = task.stop_handle();
    tokio::spawn(task.run(events, answers));
    tracing::info!(
        name = %settings.name,
        fabric = %settings.fabric_listen,
        control = %settings.control_listen,
        "balancer_started"
    );

    requested.await;
    tracing::info!(name = %settings.name, "balancer_stopping");
    stop.notify_one();
    wait_until_idle(&metrics).await;
    tracing::info!(name = %settings.name, "balancer_stopped");
    Ok(())
}

fn identity(settings: &BalancerSettings) -> BalancerIdentity {
    BalancerIdentity {
        name: settings.name.clone(),
        failure_domain: settings.failure_domain.clone(),
        control: settings.control_listen,
        tunnel: settings.tunnel_listen,
        admin_port: settings.admin_listen.port(),
        incarnation: clock::incarnation(),
        peers: settings.peers.clone(),
    }
}

fn admin_state(
    registry: Registry,
    settings: &BalancerSettings,
    node: &Arc<Mutex<BalancerNode>>,
) -> AdminState {
    let name = settings.name.clone();
    let config_node = node.clone();
    let roster_node = node.clone();
    AdminState::new(
        registry,
        move || views::config(&name, &config_node.lock()),
        move || views::roster(&roster_node.lock()),
    )
}

/// Waits until no datagram has been forwarded for [`FABRIC_IDLE_TIMEOUT`].
async fn wait_until_idle(metrics: &BalancerMetrics) {
    let forwarded = || metrics.forwarded.get() + metrics.opened.get();
    let mut last = forwarded();
    let deadline = tokio::time::Instant::now() + STOP_GRACE_PERIOD;
    while tokio::time::Instant::now() < deadline {
        tokio::time::sleep(FABRIC_IDLE_TIMEOUT).await;
        let current = forwarded();
        if current == last {
            return;
        }
        last = current;
    }
}
