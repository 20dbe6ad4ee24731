//! A stand-in of a backend server beside an agent.

use std::{
    collections::HashMap,
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN, Sum},
    record::Record,
};

const WORK_TIME: Duration = Duration::from_millis(20);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSION: Duration = Duration::from_millis(1_600);
const MAX_RETRANSMISSIONS: u32 = 8;

#[derive(Debug, Clone)]
pub struct BackendConfig {
    pub id: String,
    pub service: String,
    /// Where it receives packets, and serves its health check.
    pub app: SocketAddrV4,
    /// Where it sends all of its packets.
    pub outbound: SocketAddrV4,
    /// Where it sends its heartbeats.
    pub control: SocketAddrV4,
    pub heartbeat_interval: Duration,
}

/// A request that a backend server has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub backend: String,
}

struct Flow {
    start: u32,
    expected: u32,
    next: u32,
    open: bool,
    unacknowledged: Option<(Packet, Instant, u32)>,
}

pub struct Backend {
    pub config: BackendConfig,
    pub born_ms: u64,
    socket: UdpSocket,
    flows: Mutex<HashMap<(SocketAddrV4, SocketAddrV4), Flow>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
    alive: AtomicBool,
    draining: AtomicBool,
    heartbeats: AtomicBool,
    acknowledged: AtomicU32,
    sequence: AtomicU64,
}

pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Backend {
    pub fn start(
        config: BackendConfig,
        runs: Arc<Mutex<Vec<Run>>>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Backend>> {
        let socket = UdpSocket::bind(config.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        let health = TcpListener::bind(config.app)?;
        health.set_nonblocking(true)?;
        let this = Arc::new(Backend {
            born_ms: wall_ms(),
            socket,
            flows: Mutex::new(HashMap::new()),
            runs,
            record,
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            heartbeats: AtomicBool::new(true),
            acknowledged: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
            config,
        });
        this.note("starts");
        let it = this.clone();
        thread::spawn(move || it.receive());
        let it = this.clone();
        thread::spawn(move || it.beat());
        let it = this.clone();
        thread::spawn(move || it.listen(&health));
        Ok(this)
    }

    fn note(&self, text: &str) {
        let id = &self.config.id;
        self.record
            .line(&format!("backend {id} (born {}) {text}", self.born_ms));
    }

    /// Ends without a word, as a crash does. The address is free once all threads have noticed.
    pub fn crash(self: Arc<Self>) {
        self.alive.store(false, Ordering::SeqCst);
        self.flows.lock().unwrap().clear();
        self.note("ends");
    }

    /// Reports that it is draining, and returns once that is acknowledged.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        let status = self.send_heartbeat();
        self.note(&format!("reports draining, answer {status:?}"));
    }

    /// Sends its last call. Returns the status of the answer.
    pub fn send_leave(&self, timeout: Duration) -> Option<u16> {
        self.heartbeats.store(false, Ordering::SeqCst);
        let path = format!("/arbutusstage/instances/{}", self.config.id);
        let status = http::call(self.config.control, "DELETE", &path, "", timeout);
        self.note(&format!("sends DELETE, answer {status:?}"));
        status
    }

    pub fn is_acknowledged(&self) -> bool {
        self.acknowledged.load(Ordering::SeqCst) > 0
    }

    pub fn holds(&self, caller: SocketAddrV4) -> bool {
        let flows = self.flows.lock().unwrap();
        flows
            .iter()
            .any(|((it, _), flow)| *it == caller && flow.open)
    }

    fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn listen(&self, listener: &TcpListener) {
        while self.is_alive() {
            if listener.accept().is_err() {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn send_heartbeat(&self) -> Option<u16> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let draining = self.draining.load(Ordering::SeqCst);
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"concurrency\":5,\"state\":\"{}\",\"warmup_left_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.config.service,
            self.config.app,
            if draining { "draining" } else { "ready" },
            self.born_ms
        );
        let path = format!("/arbutusstage/instances/{}", self.config.id);
        let status = http::call(self.config.control, "PUT", &path, &body, HEARTBEAT_TIMEOUT);
        if status.is_some_and(|it| (200..300).contains(&it)) {
            self.acknowledged.fetch_add(1, Ordering::SeqCst);
        }
        self.note(&format!(
            "heartbeat {sequence}, draining {draining}, answer {status:?}"
        ));
        status
    }

    fn beat(&self) {
        while self.is_alive() {
            let sent_at = Instant::now();
            let acknowledged =
                !self.heartbeats.load(Ordering::SeqCst) || self.send_heartbeat().is_some();
            let pause = if acknowledged {
                self.config.heartbeat_interval
            } else {
                Duration::from_millis(200)
            };
            while self.is_alive() && sent_at.elapsed() < pause {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn receive(self: &Arc<Self>) {
        let mut buf = [0; 2_048];
        while self.is_alive() {
            if let Ok((length, _)) = self.socket.recv_from(&mut buf)
                && self.is_alive()
            {
                match Packet::decode(&buf[..length]) {
                    Some((packet, Sum::Valid)) => self.on_packet(&packet, &buf[..length]),
                    _ => self.note("gets a packet that its sender did not write so"),
                }
            }
            self.retransmit();
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.config.outbound);
    }

    fn on_packet(self: &Arc<Self>, packet: &Packet, bytes: &[u8]) {
        let key = (packet.source, packet.destination);
        let mut flows = self.flows.lock().unwrap();
        if packet.has(SYN) && !packet.has(ACK) {
            let start = packet.sequence.wrapping_mul(2_654_435_761) ^ self.born_ms as u32;
            let flow = flows.entry(key).or_insert_with(|| Flow {
                start,
                expected: packet.sequence.wrapping_add(1),
                next: start.wrapping_add(1),
                open: false,
                unacknowledged: None,
            });
            let answer = reply(packet, SYN | ACK, flow.start, flow.expected, Vec::new());
            drop(flows);
            return self.send(&answer);
        }
        let first = |flow: &Flow| flow.open || packet.acknowledged == flow.start.wrapping_add(1);
        let Some(flow) = flows.get_mut(&key).filter(|it| first(it)) else {
            drop(flows);
            let mut bounced = bytes.to_vec();
            bounced[20] |= BOUNCED;
            bounced[21] = 0;
            let _ = self.socket.send_to(&bounced, self.config.outbound);
            return;
        };
        flow.open = true;
        if packet.has(RST) || packet.has(FIN) {
            flows.remove(&key);
            return;
        }
        if packet.acknowledged == flow.next {
            flow.unacknowledged = None;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.sequence != flow.expected {
            let answer = reply(packet, ACK, flow.next, flow.expected, Vec::new());
            drop(flows);
            return self.send(&answer);
        }
        flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
        drop(flows);
        let (this, packet) = (self.clone(), packet.clone());
        thread::spawn(move || this.run(&packet));
    }

    /// Runs the request in a packet, and answers it.
    fn run(&self, packet: &Packet) {
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let id = text
            .lines()
            .find_map(|it| it.strip_prefix("X-Request-Id: "));
        let request = id.unwrap_or("none").trim().to_owned();
        let run = Run {
            request: request.clone(),
            backend: self.config.id.clone(),
        };
        self.runs.lock().unwrap().push(run);
        self.note(&format!("runs request {request} of {}", packet.destination));
        thread::sleep(WORK_TIME);
        let body = format!("{request} {}", self.config.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Server-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.config.id,
            body.len()
        );
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&(packet.source, packet.destination)) else {
            return;
        };
        let answer = reply(packet, ACK, flow.next, flow.expected, text.into_bytes());
        flow.next = flow.next.wrapping_add(answer.data.len() as u32);
        flow.unacknowledged = Some((answer.clone(), Instant::now(), 0));
        drop(flows);
        self.send(&answer);
    }

    fn retransmit(&self) {
        let mut due = Vec::new();
        for flow in self.flows.lock().unwrap().values_mut() {
            if let Some((packet, at, count)) = &mut flow.unacknowledged {
                let pause = (FIRST_RETRANSMISSION * 2_u32.pow(*count)).min(MAX_RETRANSMISSION);
                if at.elapsed() >= pause && *count < MAX_RETRANSMISSIONS {
                    (*at, *count) = (Instant::now(), *count + 1);
                    due.push(packet.clone());
                }
            }
        }
        for packet in due {
            self.send(&packet);
        }
    }
}

fn reply(to: &Packet, flags: u8, sequence: u32, acknowledged: u32, data: Vec<u8>) -> Packet {
    Packet {
        source: to.destination,
        destination: to.source,
        flags,
        sequence,
        acknowledged,
        data,
    }
}
