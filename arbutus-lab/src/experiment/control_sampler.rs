use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use futures_util::future;
use parking_lot::Mutex;
use tokio::{task::JoinHandle, time, time::Instant};

use crate::{admin, deployment::LiveNodes};

/// Time between two readings of all daemons.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Metric that is summed over all its labels.
const CONTROL_BYTES_METRIC: &str = "arbutus_control_bytes_total";

/// Background task that samples the control traffic of all running daemons.
#[derive(Debug)]
pub(super) struct ControlSampler {
    spans: Arc<Mutex<BTreeMap<Arc<str>, ReadingSpan>>>,
    task: JoinHandle<()>,
}

/// First and latest reading of one incarnation of a process.
#[derive(Debug, Clone, Copy)]
struct ReadingSpan {
    first: Reading,
    latest: Reading,
}

/// Value of the counter of control bytes at one time.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Instant,
    bytes: f64,
}

impl ReadingSpan {
    /// Returns the mean rate between the two readings, or 0 if there is only one.
    fn bytes_per_s(&self) -> f64 {
        let seconds = self.latest.at.duration_since(self.first.at).as_secs_f64();
        if seconds > 0.0 {
            (self.latest.bytes - self.first.bytes) / seconds
        } else {
            0.0
        }
    }
}

impl ControlSampler {
    /// Starts sampling the daemons in `live`.
    pub(super) fn start(live: LiveNodes) -> Self {
        let spans = Arc::new(Mutex::new(BTreeMap::new()));
        let task = tokio::spawn(sample(live, Arc::clone(&spans)));
        Self { spans, task }
    }

    /// Stops sampling and returns the rate of each process, in bytes per second.
    pub(super) fn finish(self) -> BTreeMap<Arc<str>, f64> {
        self.task.abort();
        let spans = self.spans.lock();
        let rates = spans
            .iter()
            .map(|(name, span)| (Arc::clone(name), span.bytes_per_s()));
        rates.collect()
    }
}

/// Samples the daemons in `live` until the task is aborted.
async fn sample(live: LiveNodes, spans: Arc<Mutex<BTreeMap<Arc<str>, ReadingSpan>>>) {
    let mut ticks = time::interval(SAMPLE_INTERVAL);
    loop {
        ticks.tick().await;
        let nodes = live.admin_addresses();
        let readings = nodes.into_iter().map(|(name, admin)| read(name, admin));
        for (name, reading) in future::join_all(readings).await.into_iter().flatten() {
            let mut spans = spans.lock();
            let span = spans.entry(name).or_insert(ReadingSpan {
                first: reading,
                latest: reading,
            });
            // A lower counter value means that the process was restarted.
            if reading.bytes < span.latest.bytes {
                span.first = reading;
            }
            span.latest = reading;
        }
    }
}

/// Reads the control byte counter of a daemon, or returns `None` if the daemon does not answer.
async fn read(name: Arc<str>, admin: SocketAddrV4) -> Option<(Arc<str>, Reading)> {
    let text = admin::get(admin.into(), "/metrics").await.ok()?;
    let bytes = text
        .lines()
        .filter(|line| line.starts_with(CONTROL_BYTES_METRIC))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum();
    let at = Instant::now();
    Some((name, Reading { at, bytes }))
}
