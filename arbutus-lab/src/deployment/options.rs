use std::sync::Arc;

use super::ServicePlan;

/// Options of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentOptions {
    /// Number of balancers at the start; at least 1.
    pub balancers: u32,
    /// The services, the one under test first.
    pub services: Vec<ServicePlan>,
    /// Number of failure domains over which nodes are spread; at least 1.
    pub failure_domains: u32,
    /// Mean service time of backend servers, in milliseconds.
    pub mean_service_ms: u64,
    /// Seed of the stand-ins' random choices.
    pub seed: u64,
}

impl DeploymentOptions {
    /// Creates options for three balancers in three failure domains, 7 backend servers of `service`
    /// and 3 backend servers of another service.
    #[must_use]
    pub fn new(service: &str) -> Self {
        let other = match service {
            "tahsis-canli" => "manifest-servis",
            "lookup" => "tables",
            "tables" => "lookup",
            _ => "tahsis-canli",
        };
        Self {
            balancers: 3,
            services: vec![plan(service, 7), plan(other, 3)],
            failure_domains: 3,
            mean_service_ms: 20,
            seed: 0,
        }
    }
}

fn plan(name: &str, agents: u32) -> ServicePlan {
    ServicePlan {
        name: Arc::from(name),
        agents,
    }
}
