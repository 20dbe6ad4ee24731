use std::{
    io,
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use arbutus_core::tunnel;
use arbutus_io::udp::{self, BatchReceiver, BatchSender, BatchSocket};

/// Longest time for which the relay waits for datagrams before it checks its stop flag.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A relay that makes no decisions and sends datagrams to the agents in turn.
pub(super) struct BareRelay {
    /// Datagrams received and forwarded.
    pub(super) sent: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<io::Result<()>>,
}

impl BareRelay {
    /// Starts a relay that listens on `address`.
    pub(super) fn start(address: SocketAddrV4, agents: Vec<SocketAddrV4>) -> io::Result<Self> {
        let listen = udp::bind(address)?;
        let out = udp::bind(SocketAddrV4::new(*address.ip(), 0))?;
        let sent = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let thread = {
            let sent = sent.clone();
            let stop = stop.clone();
            thread::spawn(move || run_worker(listen, out, &agents, &sent, &stop))
        };
        Ok(Self { sent, stop, thread })
    }

    /// Stops the relay and waits for its thread.
    pub(super) fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

fn run_worker(
    listen: std::net::UdpSocket,
    out: std::net::UdpSocket,
    agents: &[SocketAddrV4],
    sent: &AtomicU64,
    stop: &AtomicBool,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async move {
        let listen = BatchSocket::new(listen)?;
        let out = BatchSocket::new(out)?;
        let mut receiver = BatchReceiver::new(&listen);
        let mut sender = BatchSender::new();
        let mut next_agent = 0;
        while !stop.load(Ordering::Relaxed) {
            let ready = tokio::time::timeout(STOP_POLL_INTERVAL, listen.readable()).await;
            if ready.is_err() {
                continue;
            }
            let result = receiver.receive(&listen, |_, datagram| {
                let Ok((_, payload)) = tunnel::decode_fabric(datagram) else {
                    return;
                };
                let to = agents[next_agent % agents.len()];
                next_agent += 1;
                let write = |buf: &mut Vec<u8>| {
                    buf.extend_from_slice(payload);
                    Ok::<(), ()>(())
                };
                let _ = sender.add(&out, to, write);
            });
            let count = result.unwrap_or(0);
            sender.flush(&out);
            sent.fetch_add(count as u64, Ordering::Relaxed);
        }
        Ok(())
    })
}
