use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time::Instant};

use super::Latency;
use crate::{caller::Arrivals, content, error::LabError};

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// Load that is sent directly to the backend servers, round robin.
#[derive(Debug)]
pub(super) struct DirectLoad {
    /// Name of the service.
    pub(super) service: Arc<str>,
    /// Addresses of the backend servers; not empty.
    pub(super) backends: Vec<SocketAddrV4>,
    /// Requests per second.
    pub(super) rate: u32,
    /// Time in which new requests are sent.
    pub(super) duration: Duration,
    /// Seed of the arrival times.
    pub(super) seed: u64,
}

impl DirectLoad {
    /// Sends the requests and returns the latencies of the answers, in microseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if a request fails or its answer is wrong.
    pub(super) async fn run(self) -> Result<Histogram<u64>, Report<LabError>> {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mean = Duration::from_secs(1) / self.rate.max(1);
        let mut arrivals = Arrivals::begin(mean, self.duration);
        let mut requests = JoinSet::new();
        let mut number = 0;
        while arrivals.next(&mut rng).await {
            let backend = self.backends[number % self.backends.len()];
            requests.spawn(send_request(
                client.clone(),
                backend,
                self.service.clone(),
                number,
            ));
            number += 1;
        }
        let mut latencies = Latency::histogram();
        while let Some(result) = requests.join_next().await {
            let took = result.change_context(LabError::Process)??;
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            latencies.saturating_record(micros);
        }
        Ok(latencies)
    }
}

/// Sends one request and returns the time to its complete answer.
async fn send_request(
    client: HttpClient,
    backend: SocketAddrV4,
    service: Arc<str>,
    number: usize,
) -> Result<Duration, Report<LabError>> {
    let id = format!("direct-{number}");
    let req = Request::get(format!("http://{backend}/"))
        .header("x-request-id", &id)
        .header("x-lab-service", &*service)
        .body(Empty::new())
        .change_context(LabError::Process)?;
    let start = Instant::now();
    let res = client
        .request(req)
        .await
        .change_context(LabError::Process)?;
    let body = res.collect().await.change_context(LabError::Process)?;
    let took = start.elapsed();
    if body.to_bytes() != content::body(&service, &id).as_bytes() {
        return Err(Report::new(LabError::Process).attach("a backend server sent a wrong answer"));
    }
    Ok(took)
}
