//! A stand-in of a client, and of the router that gives its packets to a balancer.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
        mpsc::{self, Receiver, Sender},
    },
    thread,
    time::{Duration, Instant},
};

use crate::packet::{ACK, FIN, Packet, RST, SYN, Sum};

/// When the copies of an opening packet are sent, and when the attempt ends.
const SYN_TIMES_MS: [u64; 3] = [0, 200, 600];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSION: Duration = Duration::from_millis(1_600);
/// The largest distance of a valid reset from the last acknowledgement.
const RESET_WINDOW: u32 = 76_800;
const FIRST_PORT: u16 = 20_000;

type Inbox = Arc<Mutex<HashMap<u16, Sender<(Packet, Sum)>>>>;

pub struct Caller {
    ip: Ipv4Addr,
    socket: UdpSocket,
    inbox: Inbox,
    next_port: AtomicU16,
}

/// A flow of the caller, from an own port.
pub struct Flow {
    pub address: SocketAddrV4,
    pub service: SocketAddrV4,
    packets: Receiver<(Packet, Sum)>,
    sequence: u32,
    acknowledged: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The answer came from this backend server.
    Answered(String),
    /// A reset that no backend server wrote.
    Reset,
    /// A reset that the backend server wrote.
    ResetByBackend,
    Silence,
}

impl Caller {
    /// `address` is where the client receives packets.
    pub fn start(address: SocketAddrV4) -> std::io::Result<Caller> {
        let socket = UdpSocket::bind(address)?;
        let inbox: Inbox = Arc::default();
        let (receiver, boxes) = (socket.try_clone()?, inbox.clone());
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            while let Ok((length, _)) = receiver.recv_from(&mut buf) {
                if let Some((packet, sum)) = Packet::decode(&buf[..length]) {
                    let boxes = boxes.lock().unwrap();
                    if let Some(tx) = boxes.get(&packet.destination.port()) {
                        let _ = tx.send((packet, sum));
                    }
                }
            }
        });
        let next_port = AtomicU16::new(FIRST_PORT);
        Ok(Caller {
            ip: *address.ip(),
            socket,
            inbox,
            next_port,
        })
    }

    fn send(&self, flow: &Flow, flags: u8, acknowledged: u32, data: &[u8], to: SocketAddrV4) {
        let packet = Packet {
            source: flow.address,
            destination: flow.service,
            flags,
            sequence: flow.sequence,
            acknowledged,
            data: data.to_vec(),
        };
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    /// Opens a flow to a service address through a balancer.
    pub fn open(&self, service: SocketAddrV4, balancer: SocketAddrV4) -> Result<Flow, Outcome> {
        let port = self.next_port.fetch_add(1, Ordering::SeqCst);
        let (tx, packets) = mpsc::channel();
        self.inbox.lock().unwrap().insert(port, tx);
        let mut flow = Flow {
            address: SocketAddrV4::new(self.ip, port),
            service,
            packets,
            sequence: u32::from(port).wrapping_mul(0x9e37_79b1),
            acknowledged: 0,
        };
        let started_at = Instant::now();
        let mut copies = 0;
        while started_at.elapsed() < OPEN_TIMEOUT {
            let due = SYN_TIMES_MS
                .get(copies)
                .map(|it| Duration::from_millis(*it));
            if due.is_some_and(|it| started_at.elapsed() >= it) {
                self.send(&flow, SYN, copies as u32, &[], balancer);
                copies += 1;
            }
            let Ok((packet, sum)) = flow.packets.recv_timeout(Duration::from_millis(10)) else {
                continue;
            };
            if packet.has(RST) {
                return Err(reset_outcome(sum));
            }
            if packet.has(SYN) && packet.has(ACK) && sum == Sum::Valid {
                flow.sequence = flow.sequence.wrapping_add(1);
                flow.acknowledged = packet.sequence.wrapping_add(1);
                self.send(&flow, ACK, flow.acknowledged, &[], balancer);
                return Ok(flow);
            }
        }
        Err(Outcome::Silence)
    }

    /// Sends a request on an open flow, and waits for its answer.
    pub fn request(
        &self,
        flow: &mut Flow,
        id: &str,
        balancer: SocketAddrV4,
        deadline: Duration,
    ) -> Outcome {
        let text = format!("GET / HTTP/1.1\r\nHost: service\r\nX-Request-Id: {id}\r\n\r\n");
        let started_at = Instant::now();
        let (mut sent_at, mut pause) = (started_at, FIRST_RETRANSMISSION);
        self.send(flow, ACK, flow.acknowledged, text.as_bytes(), balancer);
        while started_at.elapsed() < deadline {
            if sent_at.elapsed() >= pause {
                self.send(flow, ACK, flow.acknowledged, text.as_bytes(), balancer);
                (sent_at, pause) = (Instant::now(), (pause * 2).min(MAX_RETRANSMISSION));
            }
            let Ok((packet, sum)) = flow.packets.recv_timeout(Duration::from_millis(10)) else {
                continue;
            };
            if packet.has(RST) {
                let distance = packet.sequence.wrapping_sub(flow.acknowledged);
                if sum == Sum::Valid || distance.min(distance.wrapping_neg()) <= RESET_WINDOW {
                    return reset_outcome(sum);
                }
                continue;
            }
            if sum != Sum::Valid || packet.data.is_empty() {
                continue;
            }
            if packet.sequence != flow.acknowledged {
                // An answer that was acknowledged before.
                self.send(flow, ACK, flow.acknowledged, &[], balancer);
                continue;
            }
            flow.sequence = flow.sequence.wrapping_add(text.len() as u32);
            flow.acknowledged = flow.acknowledged.wrapping_add(packet.data.len() as u32);
            self.send(flow, ACK, flow.acknowledged, &[], balancer);
            let answer = String::from_utf8_lossy(&packet.data).into_owned();
            let server = answer
                .lines()
                .find_map(|it| it.strip_prefix("X-Server-Signature: "));
            return Outcome::Answered(server.unwrap_or("nobody").trim().to_owned());
        }
        Outcome::Silence
    }

    /// Closes a flow.
    pub fn close(&self, flow: &Flow, balancer: SocketAddrV4) {
        self.send(flow, FIN | ACK, flow.acknowledged, &[], balancer);
        self.inbox.lock().unwrap().remove(&flow.address.port());
    }
}

fn reset_outcome(sum: Sum) -> Outcome {
    if sum == Sum::Valid {
        Outcome::ResetByBackend
    } else {
        Outcome::Reset
    }
}
