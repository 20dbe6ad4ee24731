use std::sync::Arc;

use error_stack::{Report, ResultExt};
use tokio::task::JoinHandle;

use super::ExperimentOptions;
use crate::{
    caller::{self, CallerJournal, CallerOptions},
    deployment::Deployment,
    error::LabError,
};

/// Number of callers of each service other than the one under test.
const CALLERS_PER_OTHER_SERVICE: u32 = 4;
/// Divisor of the tested service's request rate that yields the rate of each other service.
const OTHER_SERVICE_RATE_DIVISOR: u32 = 8;

/// Running load on all services.
#[derive(Debug)]
pub(super) struct Load {
    callers: Vec<JoinHandle<Result<CallerJournal, Report<LabError>>>>,
}

impl Load {
    /// Starts the callers of all services.
    pub(super) fn start(deployment: &Deployment, options: &ExperimentOptions) -> Self {
        let layout = deployment.layout();
        let services = layout.services().iter().enumerate();
        let callers = services.map(|(index, service)| {
            let target = layout.service_address(index);
            let mut caller = CallerOptions::new(target, &service.name, deployment.ca_file());
            caller.callers = options.callers;
            caller.rate = options.rate;
            caller.duration = options.duration;
            caller.post_percent = options.post_percent;
            caller.seed = options.deployment.seed + index as u64;
            caller.label = Arc::clone(&service.name);
            if index > 0 {
                caller.callers = CALLERS_PER_OTHER_SERVICE;
                caller.rate = (options.rate / OTHER_SERVICE_RATE_DIVISOR).max(1);
            }
            tokio::spawn(caller::run(caller))
        });
        Self {
            callers: callers.collect(),
        }
    }

    /// Waits until every request has an outcome and returns the journal of all callers.
    pub(super) async fn finish(self) -> Result<CallerJournal, Report<LabError>> {
        let mut journal = CallerJournal::default();
        for caller in self.callers {
            journal.extend(caller.await.change_context(LabError::Process)??);
        }
        Ok(journal)
    }
}
