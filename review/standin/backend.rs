//! A stand-in for a backend server.

use std::{
    collections::HashMap,
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http,
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
    record::Record,
};

#[derive(Clone)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    /// What the backend server says of its start, in Unix milliseconds.
    pub born: u64,
    pub heartbeat: Duration,
}

/// One process of a backend server.
pub struct Backend {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    config: Config,
    record: Record,
    alive: AtomicBool,
    draining: AtomicBool,
    sequence: AtomicU64,
    flows: Mutex<HashMap<SocketAddrV4, Flow>>,
}

struct Flow {
    start: u32,
    sent_to: u32,
    expected: u32,
    open_at: Option<f64>,
    finished: bool,
    ended: bool,
    received: Vec<u8>,
    answer_due: Option<(Instant, String)>,
    unacknowledged: Option<(Packet, Instant, Duration, u32)>,
}

impl Backend {
    /// The time that a request takes.
    const WORK: Duration = Duration::from_millis(40);

    pub fn start(config: Config, record: &Record) -> Self {
        let socket = UdpSocket::bind(config.app).expect("the backend's address is free");
        socket
            .set_read_timeout(Some(Duration::from_millis(2)))
            .expect("a timeout can be set");
        record.line(&format!(
            "backend {} starts at {}, born {}",
            config.id, config.app, config.born
        ));
        let shared = Arc::new(Shared {
            config,
            record: record.clone(),
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            flows: Mutex::default(),
        });
        let (packets, beats) = (shared.clone(), shared.clone());
        let threads = vec![
            thread::spawn(move || packets.run(&socket)),
            thread::spawn(move || beats.send_heartbeats()),
        ];
        Self { shared, threads }
    }

    /// Reports that the backend server drains. Returns whether that was acknowledged.
    pub fn drain(&self) -> bool {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.shared.send_heartbeat()
    }

    /// Deregisters, and ends at once.
    pub fn leave(mut self) {
        let Config {
            id, control, born, ..
        } = &self.shared.config;
        let body = format!("{{\"born\":{born}}}");
        let path = format!("/arbutusstage/instances/{id}");
        let status = http::call(*control, "DELETE", &path, &body);
        self.shared
            .record
            .line(&format!("backend {id}: DELETE answered {status:?}"));
        self.end();
    }

    /// Ends the process.
    pub fn end(&mut self) {
        self.shared.alive.store(false, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.shared
            .record
            .line(&format!("backend {} has ended", self.shared.config.id));
    }

    /// Returns when the flow of `client` opened, if the backend server holds it open.
    pub fn holds_open(&self, client: SocketAddrV4) -> Option<f64> {
        let flows = self.shared.flows.lock().unwrap();
        flows
            .get(&client)
            .filter(|it| !it.ended && !it.finished)?
            .open_at
    }

    pub fn id(&self) -> &str {
        &self.shared.config.id
    }
}

impl Shared {
    fn send_heartbeats(&self) {
        while self.alive.load(Ordering::SeqCst) {
            let answered = self.send_heartbeat();
            let pause = if answered {
                self.config.heartbeat
            } else {
                Duration::from_millis(300)
            };
            let until = Instant::now() + pause;
            while Instant::now() < until && self.alive.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn send_heartbeat(&self) -> bool {
        let Config {
            id,
            service,
            zone,
            app,
            born,
            control,
            ..
        } = &self.config;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"concurrency\":5,\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        let status = http::call(
            *control,
            "PUT",
            &format!("/arbutusstage/instances/{id}"),
            &body,
        );
        self.record.line(&format!(
            "backend {id}: PUT {state} {sequence} answered {status:?}"
        ));
        status.is_ok_and(|it| (200..300).contains(&it))
    }

    fn run(&self, socket: &UdpSocket) {
        let mut buf = [0; 2_048];
        while self.alive.load(Ordering::SeqCst) {
            if let Ok((length, _)) = socket.recv_from(&mut buf) {
                self.on_packet(socket, &mut buf[..length]);
            }
            self.on_time(socket);
        }
    }

    fn on_packet(&self, socket: &UdpSocket, bytes: &mut [u8]) {
        let now = self.record.seconds();
        let Some(packet) = Packet::decode(bytes) else {
            return;
        };
        if !packet.genuine || packet.has(SYN | ACK) {
            self.record
                .line(&format!("backend {}: FORGED {packet:?}", self.config.id));
            return;
        }
        let id = &self.config.id;
        let mut flows = self.flows.lock().unwrap();
        if packet.has(SYN) {
            let start = (now * 1e6) as u32 ^ 0x5a5a_0000 ^ u32::from(packet.from.port());
            let flow = flows.entry(packet.from).or_insert_with(|| Flow {
                start,
                sent_to: start.wrapping_add(1),
                expected: packet.seq.wrapping_add(1),
                open_at: None,
                finished: false,
                ended: false,
                received: Vec::new(),
                answer_due: None,
                unacknowledged: None,
            });
            let answer = reply(&packet, SYN | ACK, flow.start, flow.expected, Vec::new());
            return self.send(socket, &answer);
        }
        let Some(flow) = flows.get_mut(&packet.from) else {
            self.record.line(&format!(
                "backend {id}: bounces a packet of {}",
                packet.from
            ));
            bytes[20] |= BOUNCED;
            bytes[21] = 0;
            let _ = socket.send_to(bytes, self.config.outbound);
            return;
        };
        if packet.has(RST) {
            flow.ended = true;
            return;
        }
        if flow.open_at.is_none() && packet.ack == flow.start.wrapping_add(1) {
            flow.open_at = Some(now);
            self.record
                .line(&format!("backend {id}: flow of {} is open", packet.from));
        }
        if packet.ack == flow.sent_to {
            flow.unacknowledged = None;
        }
        if packet.data.is_empty() && !packet.has(FIN) {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            flow.received.extend_from_slice(&packet.data);
            if packet.has(FIN) {
                flow.expected = flow.expected.wrapping_add(1);
            }
            if flow.received.ends_with(b"\r\n\r\n") {
                let text =
                    String::from_utf8_lossy(&std::mem::take(&mut flow.received)).into_owned();
                let request = text
                    .split("X-Request-Id: ")
                    .nth(1)
                    .unwrap_or_default()
                    .trim()
                    .to_owned();
                self.record
                    .line(&format!("backend {id}: runs {request} of {}", packet.from));
                flow.answer_due = Some((Instant::now() + Backend::WORK, request));
            }
            if packet.has(FIN) {
                if !flow.finished {
                    let fin = reply(&packet, FIN | ACK, flow.sent_to, flow.expected, Vec::new());
                    self.send(socket, &fin);
                }
                flow.finished = true;
                flow.ended = true;
                return;
            }
        }
        let ack = reply(&packet, ACK, flow.sent_to, flow.expected, Vec::new());
        self.send(socket, &ack);
    }

    /// Sends the answers that are due, and unacknowledged ones again.
    fn on_time(&self, socket: &UdpSocket) {
        let now = Instant::now();
        let mut flows = self.flows.lock().unwrap();
        for (client, flow) in flows.iter_mut().filter(|(_, it)| !it.ended) {
            if let Some((_, request)) = flow.answer_due.take_if(|it| it.0 <= now) {
                let id = &self.config.id;
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Server-Signature: {id}\r\nContent-Length: {}\r\n\r\n{request}",
                    request.len()
                );
                let mut flags = ACK;
                if self.draining.load(Ordering::SeqCst) {
                    flags |= FIN;
                    flow.finished = true;
                }
                let data = text.into_bytes();
                let answer = Packet {
                    from: service(),
                    to: *client,
                    flags,
                    seq: flow.sent_to,
                    ack: flow.expected,
                    data,
                    genuine: true,
                };
                let length = answer.data.len() as u32 + u32::from(flags & FIN != 0);
                flow.sent_to = flow.sent_to.wrapping_add(length);
                self.send(socket, &answer);
                flow.unacknowledged = Some((answer, now, Duration::from_millis(200), 0));
            }
            if let Some((answer, at, pause, tries)) = &mut flow.unacknowledged {
                if now.duration_since(*at) >= *pause && *tries < 8 {
                    (*at, *tries) = (now, *tries + 1);
                    *pause = (*pause * 2).min(Duration::from_millis(1_600));
                    let answer = answer.clone();
                    self.send(socket, &answer);
                }
            }
        }
    }

    fn send(&self, socket: &UdpSocket, packet: &Packet) {
        let _ = socket.send_to(&packet.encode(), self.config.outbound);
    }
}

/// The address of the service that callers use.
pub fn service() -> SocketAddrV4 {
    SocketAddrV4::new(std::net::Ipv4Addr::new(127, 18, 0, 1), 443)
}

fn reply(to: &Packet, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
    Packet {
        from: to.to,
        to: to.from,
        flags,
        seq,
        ack,
        data,
        genuine: true,
    }
}
