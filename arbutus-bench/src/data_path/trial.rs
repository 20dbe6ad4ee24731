use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::{Arc, atomic::Ordering},
    thread,
    time::Instant,
};

use arbutus_core::{
    config::{ConfigVersion, Service, Snapshot},
    keys::{KeyRing, SystemKey},
    route::RouteTable,
};
use arbutus_io::{
    balancer::{self, DataPath},
    metrics::BalancerMetrics,
    udp,
};
use error_stack::{Report, ResultExt};
use serde::Serialize;

use super::{bare_relay::BareRelay, load::Load, options::Options};
use crate::bench_error::BenchError;

const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 443);
const CALLER_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, 1), 40_000);

/// Figures of one run.
#[derive(Debug, Serialize)]
struct Figures {
    payload_bytes: usize,
    agents: usize,
    /// Datagrams per second that the relay forwarded, one entry per trial.
    relay_per_s: Vec<f64>,
    /// Datagrams per second that the balancer forwarded, one entry per trial.
    balancer_per_s: Vec<f64>,
    /// Median rate of the balancer divided by that of the relay.
    ratio: f64,
}

/// Measures the relay and the balancer in turn and prints the figures.
pub(super) fn compare(options: &Options) -> Result<(), Report<BenchError>> {
    let mut bench = Bench::open(options).change_context(BenchError::Failed)?;
    let mut relay = Vec::new();
    let mut balancer = Vec::new();
    for _ in 0..options.trials {
        relay.push(
            bench
                .measure_relay(options)
                .change_context(BenchError::Failed)?,
        );
        balancer.push(
            bench
                .measure_balancer(options)
                .change_context(BenchError::Failed)?,
        );
    }
    let ratio = median(&balancer) / median(&relay);
    let figures = Figures {
        payload_bytes: options.bytes,
        agents: options.agents,
        relay_per_s: relay,
        balancer_per_s: balancer,
        ratio,
    };
    let text = serde_json::to_string_pretty(&figures).change_context(BenchError::Failed)?;
    println!("{text}");
    Ok(())
}

/// Sockets and balancer that all trials share.
struct Bench {
    source: UdpSocket,
    agents: Vec<SocketAddrV4>,
    load: Load,
    balancer: SocketAddrV4,
    metrics: Arc<BalancerMetrics>,
}

impl Bench {
    fn open(options: &Options) -> io::Result<Self> {
        let source = udp::bind(loopback(0))?;
        source.set_nonblocking(false)?;
        let agents = (0..options.agents)
            .map(|_| spawn_sink())
            .collect::<io::Result<Vec<_>>>()?;
        let keys = KeyRing::single(SystemKey::derive(&[1; 32]));
        let service = Service::new("bench", SERVICE_ADDRESS);
        let load = Load::new(
            options,
            service.tag(),
            SERVICE_ADDRESS,
            CALLER_ADDRESS,
            &agents,
            &keys,
        );
        let metrics = Arc::new(BalancerMetrics::default());
        let path = DataPath::new(keys, vec![ipv4_address(&source)?], metrics.clone());
        let snapshot = Snapshot::new(ConfigVersion::new(1), [service]);
        path.set_table(RouteTable::build(&snapshot, []));
        let balancer = free_address()?;
        balancer::spawn_workers(1, balancer, free_address()?, &Arc::new(path))
            .map_err(|report| io::Error::other(format!("{report:?}")))?;
        Ok(Self {
            source,
            agents,
            load,
            balancer,
            metrics,
        })
    }

    fn measure_relay(&mut self, options: &Options) -> io::Result<f64> {
        let address = free_address()?;
        let relay = BareRelay::start(address, self.agents.clone())?;
        let sent = relay.sent.clone();
        let rate = self.measure(options, address, || sent.load(Ordering::Relaxed))?;
        relay.stop();
        Ok(rate)
    }

    fn measure_balancer(&mut self, options: &Options) -> io::Result<f64> {
        let metrics = self.metrics.clone();
        self.measure(options, self.balancer, || metrics.forwarded.get())
    }

    /// Sends for the duration of one trial and returns the datagrams forwarded per second.
    fn measure(
        &self,
        options: &Options,
        to: SocketAddrV4,
        count: impl Fn() -> u64,
    ) -> io::Result<f64> {
        let start = Instant::now();
        let before = count();
        self.load
            .send_until(&self.source, to, start + options.time)?;
        let sent = count() - before;
        // The count is below 2^52, so the conversion is exact.
        #[expect(clippy::cast_precision_loss)]
        let sent = sent as f64;
        Ok(sent / start.elapsed().as_secs_f64())
    }
}

/// Opens a socket that discards received datagrams and returns its address.
fn spawn_sink() -> io::Result<SocketAddrV4> {
    let socket = UdpSocket::bind(loopback(0))?;
    let address = ipv4_address(&socket)?;
    thread::spawn(move || {
        let mut buf = [0; 2_048];
        while socket.recv(&mut buf).is_ok() {}
    });
    Ok(address)
}

/// Returns a loopback address that was free at the time of the call.
fn free_address() -> io::Result<SocketAddrV4> {
    ipv4_address(&UdpSocket::bind(loopback(0))?)
}

const fn loopback(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn ipv4_address(socket: &UdpSocket) -> io::Result<SocketAddrV4> {
    match socket.local_addr()? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(io::ErrorKind::Unsupported.into()),
    }
}

fn median(figures: &[f64]) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}
