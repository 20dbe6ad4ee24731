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

/// Silence of the fabric after which a stopping balancer ends.
const QUIET: Duration = Duration::from_secs(2);
/// Longest time that a stopping balancer goes on forwarding.
const STOP_GRACE: Duration = Duration::from_secs(60);

/// Runs a balancer until SIGTERM or SIGINT.
///
/// A stopping balancer says so to the others and goes on forwarding until the fabric has sent
/// nothing for a while.
///
/// # Errors
///
/// Fails where an address cannot be bound or a certificate cannot be used.
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
    wait_until_quiet(&metrics).await;
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

async fn wait_until_quiet(metrics: &BalancerMetrics) {
    let forwarded = || metrics.forwarded.get() + metrics.opened.get();
    let mut last = forwarded();
    let deadline = tokio::time::Instant::now() + STOP_GRACE;
    while tokio::time::Instant::now() < deadline {
        tokio::time::sleep(QUIET).await;
        let seen = forwarded();
        if seen == last {
            return;
        }
        last = seen;
    }
}
