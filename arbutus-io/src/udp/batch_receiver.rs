use std::{
    io::{self, IoSliceMut},
    net::{SocketAddr, SocketAddrV4},
};

use quinn_udp::{BATCH_SIZE, RecvMeta};

use super::BatchSocket;

/// Buffer size for one datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Maximum number of bytes that the kernel coalesces into one buffer (GRO).
const MAX_GRO_BYTES: usize = 65_536;

/// Receives datagrams in batches.
pub struct BatchReceiver {
    buf: Vec<u8>,
    /// Bytes of `buf` for each slot of a batch.
    slot_bytes: usize,
    metas: Vec<RecvMeta>,
}

impl BatchReceiver {
    /// Creates a receiver for `batch_socket`.
    #[must_use]
    pub fn new(batch_socket: &BatchSocket) -> Self {
        let slot_bytes =
            (MAX_DATAGRAM_BYTES * batch_socket.state().gro_segments()).min(MAX_GRO_BYTES);
        Self {
            buf: vec![0; slot_bytes * BATCH_SIZE],
            slot_bytes,
            metas: vec![RecvMeta::default(); BATCH_SIZE],
        }
    }

    /// Receives one batch and calls `handle` with the sender and the payload of each datagram.
    ///
    /// Returns the number of datagrams.
    ///
    /// # Errors
    ///
    /// Returns the socket's error, including [`io::ErrorKind::WouldBlock`].
    pub fn receive(
        &mut self,
        batch_socket: &BatchSocket,
        mut handle: impl FnMut(SocketAddrV4, &[u8]),
    ) -> io::Result<usize> {
        let mut slices: Vec<IoSliceMut<'_>> = self
            .buf
            .chunks_exact_mut(self.slot_bytes)
            .map(IoSliceMut::new)
            .collect();
        let metas = &mut self.metas;
        let receive = || {
            let socket = (&**batch_socket.io()).into();
            batch_socket.state().recv(socket, &mut slices, metas)
        };
        let count = batch_socket.try_receive(receive)?;
        let mut datagrams = 0;
        for (slot, meta) in slices.iter().zip(&self.metas).take(count) {
            let SocketAddr::V4(from) = meta.addr else {
                continue;
            };
            for datagram in slot[..meta.len].chunks(meta.stride.max(1)) {
                handle(from, datagram);
                datagrams += 1;
            }
        }
        Ok(datagrams)
    }
}

impl std::fmt::Debug for BatchReceiver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BatchReceiver")
            .field("slot_bytes", &self.slot_bytes)
            .finish_non_exhaustive()
    }
}
