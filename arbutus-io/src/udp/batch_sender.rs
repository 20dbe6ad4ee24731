use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use indexmap::IndexMap;
use quinn_udp::Transmit;

use super::BatchSocket;

/// Maximum number of bytes in one segmented send.
const MAX_SEND_BYTES: usize = 60_000;

/// Collects datagrams for many destinations and sends those of equal size together.
#[derive(Debug, Default)]
pub struct BatchSender {
    /// Unsent datagrams. Entries remain after sending, so that their buffers are reused.
    pending: IndexMap<SocketAddrV4, Pending>,
}

/// Unsent datagrams for one destination, all of the same size except that the last may be shorter.
#[derive(Debug, Default)]
struct Pending {
    buf: Vec<u8>,
    segment_bytes: usize,
    segments: usize,
    /// Whether the last datagram was shorter, so that no other may follow.
    is_complete: bool,
}

/// Maximum number of destinations whose buffers are kept between batches.
const MAX_IDLE_DESTINATIONS: usize = 4_096;

impl BatchSender {
    /// Creates an empty sender.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the datagram that `write` appends to the buffer it is given.
    ///
    /// If the datagram cannot be appended to the pending ones for `to`, those are sent first. A
    /// send that fails loses its datagrams, as a network may; failures other than a full socket
    /// buffer are logged.
    ///
    /// # Errors
    ///
    /// Returns the error of `write`; the pending datagrams remain unchanged then.
    pub fn add<E>(
        &mut self,
        socket: &BatchSocket,
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
        let is_full =
            pending.segments >= socket.state().max_gso_segments() || start + bytes > MAX_SEND_BYTES;
        let fits = !pending.is_complete && bytes <= pending.segment_bytes && !is_full;
        if pending.segments > 0 && !fits {
            let last = pending.buf.split_off(start);
            pending.send(socket, to);
            pending.buf.extend_from_slice(&last);
        }
        pending.count(bytes);
        Ok(())
    }

    /// Sends all pending datagrams.
    pub fn flush(&mut self, socket: &BatchSocket) {
        for (to, pending) in &mut self.pending {
            pending.send(socket, *to);
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
            self.is_complete = true;
        }
        self.segments += 1;
    }

    fn send(&mut self, socket: &BatchSocket, to: SocketAddrV4) {
        if self.segments > 0 {
            let transmit = Transmit {
                destination: SocketAddr::V4(to),
                ecn: None,
                contents: &self.buf,
                segment_size: (self.segments > 1).then_some(self.segment_bytes),
                src_ip: None,
            };
            if let Err(err) = socket.state().try_send((&**socket.io()).into(), &transmit) {
                log_send_failure(&err, to, self.segments);
            }
        }
        self.buf.clear();
        self.segments = 0;
        self.is_complete = false;
    }
}

fn log_send_failure(err: &io::Error, to: SocketAddrV4, datagrams: usize) {
    // A full socket buffer is normal during a burst, and QUIC retransmits the lost packets.
    if err.kind() != io::ErrorKind::WouldBlock {
        tracing::debug!(%err, %to, datagrams, "send_failed");
    }
}
