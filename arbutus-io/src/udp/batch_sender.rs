use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use indexmap::IndexMap;
use quinn_udp::Transmit;

use super::BatchSocket;

/// Most bytes in one segmented send.
const MAX_SEND_BYTES: usize = 60_000;

/// Collects datagrams for many destinations and sends those of one size together.
#[derive(Debug, Default)]
pub struct BatchSender {
    /// Datagrams not yet sent; entries stay, emptied, so that their buffers are used again.
    pending: IndexMap<SocketAddrV4, Pending>,
}

/// Datagrams for one destination, all of one size but perhaps the last.
#[derive(Debug, Default)]
struct Pending {
    buf: Vec<u8>,
    segment_bytes: usize,
    segments: usize,
    /// Whether the last datagram was shorter, so that none may follow.
    closed: bool,
}

/// Destinations kept with their buffers between batches.
const MAX_IDLE_DESTINATIONS: usize = 4_096;

impl BatchSender {
    /// Makes a sender with nothing to send.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the datagram that `write` appends to the buffer it is given.
    ///
    /// Sends what was collected for `to` before, where the datagram does not fit to it. A send that
    /// fails loses its datagrams, as a network may; the result tells it.
    ///
    /// # Errors
    ///
    /// Fails where `write` does, leaving what was collected as it was.
    pub fn add<E>(
        &mut self,
        port: &BatchSocket,
        to: SocketAddrV4,
        write: impl FnOnce(&mut Vec<u8>) -> Result<(), E>,
    ) -> Result<(), E> {
        let pending = self.pending.entry(to).or_default();
        let start = pending.buf.len();
        if let Err(err) = write(&mut pending.buf) {
            pending.buf.truncate(start);
            return Err(err);
        }
        let bytes = pending.buf.len() - start;
        let full =
            pending.segments >= port.state().max_gso_segments() || start + bytes > MAX_SEND_BYTES;
        let fits = !pending.closed && bytes <= pending.segment_bytes && !full;
        if pending.segments > 0 && !fits {
            let last = pending.buf.split_off(start);
            pending.send(port, to);
            pending.buf.extend_from_slice(&last);
        }
        pending.count(bytes);
        Ok(())
    }

    /// Sends everything that was collected.
    pub fn flush(&mut self, port: &BatchSocket) {
        for (to, pending) in &mut self.pending {
            pending.send(port, *to);
        }
        if self.pending.len() > MAX_IDLE_DESTINATIONS {
            self.pending.clear();
        }
    }
}

impl Pending {
    fn count(&mut self, bytes: usize) {
        if self.segments == 0 {
            self.segment_bytes = bytes;
        } else if bytes < self.segment_bytes {
            self.closed = true;
        }
        self.segments += 1;
    }

    fn send(&mut self, port: &BatchSocket, to: SocketAddrV4) {
        if self.segments > 0 {
            let transmit = Transmit {
                destination: SocketAddr::V4(to),
                ecn: None,
                contents: &self.buf,
                segment_size: (self.segments > 1).then_some(self.segment_bytes),
                src_ip: None,
            };
            if let Err(err) = port.state().try_send((&**port.io()).into(), &transmit) {
                log_lost(&err, to, self.segments);
            }
        }
        self.buf.clear();
        self.segments = 0;
        self.closed = false;
    }
}

fn log_lost(err: &io::Error, to: SocketAddrV4, datagrams: usize) {
    // A full buffer is ordinary under a burst, and QUIC sends the lost packets again.
    if err.kind() != io::ErrorKind::WouldBlock {
        tracing::debug!(%err, %to, datagrams, "send_failed");
    }
}
