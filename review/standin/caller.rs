//! A stand-in for callers and for the router, which hands all their packets to one balancer.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::service,
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
};

#[derive(Clone)]
pub struct Callers {
    shared: Arc<Shared>,
}

struct Shared {
    socket: UdpSocket,
    ip: Ipv4Addr,
    balancer: Mutex<SocketAddrV4>,
    record: Record,
    flows: Mutex<HashMap<u16, Flow>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Opening,
    Open,
    Closed,
    Failed,
}

struct Flow {
    state: State,
    next: u32,
    expected: u32,
    answers: u32,
    reset: Option<Reset>,
    /// The packet to send again, when it was last sent, the pause, and how often it was sent.
    unacknowledged: Option<(Packet, Instant, Duration, u32)>,
}

/// A reset of the system that arrived on an open flow.
#[derive(Debug, Clone, Copy)]
pub struct Reset {
    pub at: f64,
}

impl Callers {
    pub fn start(at: SocketAddrV4, balancer: SocketAddrV4, record: &Record) -> Self {
        let socket = UdpSocket::bind(at).expect("the callers' address is free");
        socket
            .set_read_timeout(Some(Duration::from_millis(2)))
            .expect("a timeout can be set");
        let shared = Arc::new(Shared {
            socket,
            ip: *at.ip(),
            balancer: Mutex::new(balancer),
            record: record.clone(),
            flows: Mutex::default(),
        });
        let this = shared.clone();
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            loop {
                if let Ok((length, _)) = this.socket.recv_from(&mut buf) {
                    this.on_packet(&buf[..length]);
                }
                this.on_time();
            }
        });
        Self { shared }
    }

    /// Has the router hand all packets to another balancer from now on.
    pub fn route_to(&self, balancer: SocketAddrV4) {
        *self.shared.balancer.lock().unwrap() = balancer;
        self.shared
            .record
            .line(&format!("the router sends all packets to {balancer}"));
    }

    pub fn address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.shared.ip, port)
    }

    /// Opens a flow from a new port.
    pub fn open(&self, port: u16) {
        let seq = u32::from(port) << 12;
        let syn = self.packet(port, SYN, seq, 0, Vec::new());
        let flow = Flow {
            state: State::Opening,
            next: seq.wrapping_add(1),
            expected: 0,
            answers: 0,
            reset: None,
            unacknowledged: Some((syn.clone(), Instant::now(), Duration::from_millis(200), 0)),
        };
        self.shared.flows.lock().unwrap().insert(port, flow);
        self.shared.send(&syn);
    }

    /// Sends a request on an open flow.
    pub fn request(&self, port: u16, id: &str) {
        let text = format!("GET /roster HTTP/1.1\r\nHost: s\r\nX-Request-Id: {id}\r\n\r\n");
        let mut flows = self.shared.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&port).filter(|it| it.state == State::Open) else {
            return;
        };
        let packet = self.packet(port, ACK, flow.next, flow.expected, text.into_bytes());
        flow.next = flow.next.wrapping_add(packet.data.len() as u32);
        let again = (
            packet.clone(),
            Instant::now(),
            Duration::from_millis(200),
            0,
        );
        flow.unacknowledged = Some(again);
        drop(flows);
        self.shared
            .record
            .line(&format!("caller {port}: sends {id}"));
        self.shared.send(&packet);
    }

    /// Closes a flow.
    pub fn close(&self, port: u16) {
        let mut flows = self.shared.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&port).filter(|it| it.state == State::Open) else {
            return;
        };
        let fin = self.packet(port, FIN | ACK, flow.next, flow.expected, Vec::new());
        flow.next = flow.next.wrapping_add(1);
        flow.state = State::Closed;
        drop(flows);
        self.shared.send(&fin);
    }

    pub fn state(&self, port: u16) -> Option<State> {
        self.shared
            .flows
            .lock()
            .unwrap()
            .get(&port)
            .map(|it| it.state)
    }

    pub fn answers(&self, port: u16) -> u32 {
        self.shared
            .flows
            .lock()
            .unwrap()
            .get(&port)
            .map_or(0, |it| it.answers)
    }

    pub fn reset(&self, port: u16) -> Option<Reset> {
        self.shared
            .flows
            .lock()
            .unwrap()
            .get(&port)
            .and_then(|it| it.reset)
    }

    fn packet(&self, port: u16, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
        let from = SocketAddrV4::new(self.shared.ip, port);
        Packet {
            from,
            to: service(),
            flags,
            seq,
            ack,
            data,
            genuine: true,
        }
    }
}

impl Shared {
    /// The distance of a reset's position from the caller's last acknowledgement, at most.
    const RESET_WINDOW: u32 = 76_800;

    fn on_packet(&self, bytes: &[u8]) {
        let Some(packet) = Packet::decode(bytes) else {
            return;
        };
        let port = packet.to.port();
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&port) else {
            return;
        };
        if packet.has(RST) {
            let distance = packet
                .seq
                .wrapping_sub(flow.expected)
                .min(flow.expected.wrapping_sub(packet.seq));
            let valid = flow.state != State::Open || distance <= Self::RESET_WINDOW;
            let by = if packet.genuine {
                "its backend"
            } else {
                "the system"
            };
            self.record.line(&format!(
                "caller {port}: reset by {by}, flow {:?}, valid {valid}",
                flow.state
            ));
            if valid && !packet.genuine && flow.state == State::Open {
                flow.reset = Some(Reset {
                    at: self.record.seconds(),
                });
            }
            if valid && flow.state != State::Closed {
                flow.state = State::Failed;
                flow.unacknowledged = None;
            }
            return;
        }
        if packet.has(SYN | ACK) {
            if flow.state == State::Opening {
                flow.state = State::Open;
                flow.expected = packet.seq.wrapping_add(1);
                flow.unacknowledged = None;
                let ack = answer(&packet, ACK, flow.next, flow.expected);
                drop(flows);
                self.send(&ack);
            }
            return;
        }
        if flow.state != State::Open {
            return;
        }
        if packet.ack == flow.next {
            flow.unacknowledged = None;
        }
        if packet.data.is_empty() && !packet.has(FIN) {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            if !packet.data.is_empty() {
                flow.answers += 1;
                self.record
                    .line(&format!("caller {port}: answer {}", flow.answers));
            }
            if packet.has(FIN) {
                flow.expected = flow.expected.wrapping_add(1);
                flow.state = State::Closed;
                let fin = answer(&packet, FIN | ACK, flow.next, flow.expected);
                drop(flows);
                return self.send(&fin);
            }
        }
        let ack = answer(&packet, ACK, flow.next, flow.expected);
        drop(flows);
        self.send(&ack);
    }

    fn on_time(&self) {
        let now = Instant::now();
        let mut again = Vec::new();
        for flow in self.flows.lock().unwrap().values_mut() {
            let opening = flow.state == State::Opening;
            let Some((packet, at, pause, copies)) = &mut flow.unacknowledged else {
                continue;
            };
            if now.duration_since(*at) < *pause {
                continue;
            }
            (*at, *copies) = (now, *copies + 1);
            if opening {
                // Copies after 200 ms and 600 ms; the attempt ends after 1.4 s.
                *pause = Duration::from_millis(if *copies == 1 { 400 } else { 800 });
                packet.ack = *copies;
                if *copies > 2 {
                    flow.state = State::Failed;
                    flow.unacknowledged = None;
                    continue;
                }
            } else {
                *pause = (*pause * 2).min(Duration::from_millis(1_600));
            }
            again.push(packet.clone());
        }
        for packet in again {
            self.record.line(&format!(
                "caller {}: sends a packet again",
                packet.from.port()
            ));
            self.send(&packet);
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self
            .socket
            .send_to(&packet.encode(), *self.balancer.lock().unwrap());
    }
}

fn answer(to: &Packet, flags: u8, seq: u32, ack: u32) -> Packet {
    Packet {
        from: to.to,
        to: to.from,
        flags,
        seq,
        ack,
        data: Vec::new(),
        genuine: true,
    }
}
