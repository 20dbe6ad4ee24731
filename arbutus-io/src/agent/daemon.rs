use std::sync::Arc;

use arbutus_core::membership::{AgentIdentity, AgentNode, Settings};
use arbutus_settings::agent::AgentSettings;
use error_stack::{Report, ResultExt};
use parking_lot::Mutex;
use prometheus_client::registry::Registry;
use rand::Rng;

use super::{AgentError, control_task::ControlTask, views};
use crate::{
    admin::{self, AdminState},
    clock,
    control::ControlEndpoint,
    metrics::AgentMetrics,
    shutdown,
};

/// Runs an agent until SIGTERM or SIGINT, then drains it and returns.
///
/// Requests and connections that are still open when the signal arrives are served until they
/// end or the stop grace period is over.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a certificate cannot be used.
pub async fn run(settings: AgentSettings) -> Result<(), Report<AgentError>> {
    let requested = shutdown::requested();
    let metrics = Arc::new(AgentMetrics::default());
    let mut registry = Registry::default();
    metrics.register(&mut registry);

    let (control, events) = ControlEndpoint::open(
        settings.control_listen,
        &settings.control_tls,
        &settings.keys,
        &metrics.control,
    )
    .change_context(AgentError::Control)?;

    let node = AgentNode::new(
        Settings::new(),
        &identity(&settings),
        rand::rng().random(),
        clock::now(),
    );
    let node = Arc::new(Mutex::new(node));
    let state = admin_state(registry, &settings, &node);
    admin::serve(settings.admin_listen, state)
        .await
        .change_context(AgentError::Admin)?;
    tracing::info!(
        name = %settings.name,
        service = %settings.service,
        tunnel = %settings.tunnel_listen,
        "agent_started"
    );

    let name = settings.name.clone();
    let task = ControlTask::new(settings, node, control, metrics);
    task.run(events, requested).await?;
    tracing::info!(%name, "agent_stopped");
    Ok(())
}

fn identity(settings: &AgentSettings) -> AgentIdentity {
    AgentIdentity {
        name: settings.name.clone(),
        failure_domain: settings.failure_domain.clone(),
        service: settings.service.clone(),
        tunnel: settings.tunnel_listen,
        control: settings.control_listen,
        admin_port: settings.admin_listen.port(),
        incarnation: clock::incarnation(),
        balancers: settings.balancers.clone(),
    }
}

fn admin_state(
    registry: Registry,
    settings: &AgentSettings,
    node: &Arc<Mutex<AgentNode>>,
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
