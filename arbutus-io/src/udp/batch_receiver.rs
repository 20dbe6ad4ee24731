use std::{
    io::{self, IoSliceMut},
    net::{SocketAddr, SocketAddrV4},
};

use quinn_udp::{BATCH_SIZE, RecvMeta};

use super::BatchSocket;

/// Room for one datagram, in bytes.
const DATAGRAM_BYTES: usize = 2_048;
/// Most bytes that the kernel joins into one buffer.
const MAX_GRO_BYTES: usize = 65_536;

/// Receives datagrams many at a time and hands them on one by one.
pub struct BatchReceiver {
    buf: Vec<u8>,
    /// Bytes of `buf` for each slot of a batch.
    slot_bytes: usize,
    metas: Vec<RecvMeta>,
}

impl BatchReceiver {
    /// Makes a receiver for `port`.
    #[must_use]
    pub fn new(port: &BatchSocket) -> Self {
        let slot_bytes = (DATAGRAM_BYTES * port.state().gro_segments()).min(MAX_GRO_BYTES);
        Self {
            buf: vec![0; slot_bytes * BATCH_SIZE],
            slot_bytes,
            metas: vec![RecvMeta::default(); BATCH_SIZE],
        }
    }

    /// Receives once and calls `handle` with each datagram and its sender.
    ///
    /// Returns how many datagrams came.
    ///
    /// # Errors
    ///
    /// Fails as the socket does, [`io::ErrorKind::WouldBlock`] included.
    pub fn receive(
        &mut self,
        port: &BatchSocket,
        mut handle: impl FnMut(SocketAddrV4, &[u8]),
    ) -> io::Result<usize> {
        let mut slices: Vec<IoSliceMut<'_>> = self
            .buf
            .chunks_exact_mut(self.slot_bytes)
            .map(IoSliceMut::new)
            .collect();
        let metas = &mut self.metas;
        let receive = || {
            let socket = (&**port.io()).into();
            port.state().recv(socket, &mut slices, metas)
        };
        let count = port.try_receive(receive)?;
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
