use std::{sync::Arc, time::Duration};

use error_stack::Report;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use super::{
    Arrivals, CallerJournal, CallerOptions, request::CallerRequest, session::Session,
    tls::client_config,
};
use crate::error::LabError;

/// Generates the load, waits for the outcome of every request, and returns the callers' journal.
///
/// Requests are due at random times that do not depend on the answers. Each caller uses one flow
/// for as long as the flow accepts requests.
///
/// # Errors
///
/// Fails if the authority's certificate or a socket cannot be used.
pub async fn run(options: CallerOptions) -> Result<CallerJournal, Report<LabError>> {
    let options = Arc::new(options);
    let config = client_config(&options.ca)?;
    let journal = Arc::new(Mutex::new(CallerJournal::default()));
    let mut callers = JoinSet::new();
    for number in 0..options.callers.max(1) {
        let session = Session::new(number, &options, &config, &journal)?;
        let seed = options.seed.wrapping_mul(1_000_003) + u64::from(number);
        callers.spawn(run_caller(
            Arc::new(session),
            ChaCha8Rng::seed_from_u64(seed),
        ));
    }
    callers.join_all().await;
    let journal = std::mem::take(&mut *journal.lock());
    Ok(journal)
}

/// Sends the requests of one caller.
async fn run_caller(session: Arc<Session>, mut rng: ChaCha8Rng) {
    let options = &session.options;
    let mean_interval =
        Duration::from_secs(u64::from(options.callers.max(1))) / options.rate.max(1);
    let mut arrivals = Arrivals::begin(mean_interval, options.duration);
    let mut requests = JoinSet::new();
    let mut number = 0;
    while arrivals.next(&mut rng).await {
        let repeatable = rng.random_range(0..100) >= options.post_percent;
        let request = CallerRequest::new(Arc::clone(&session), number, repeatable);
        requests.spawn(request.run());
        number += 1;
    }
    requests.join_all().await;
    session.close().await;
}
