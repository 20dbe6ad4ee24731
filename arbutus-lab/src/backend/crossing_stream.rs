use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that follow the answer being written, unasked.
#[derive(Debug, Clone, Default)]
pub(super) struct Unasked(Arc<Mutex<Vec<u8>>>);

impl Unasked {
    /// Adds an answer to a request that nobody made.
    pub(super) fn add(&self, body: &str) {
        let mut bytes = self.0.lock();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        bytes.extend_from_slice(head.as_bytes());
        bytes.extend_from_slice(body.as_bytes());
    }
}

/// A connection that can be made to carry what nobody asked for.
#[derive(Debug)]
pub(super) struct CrossingStream {
    stream: TcpStream,
    unasked: Unasked,
}

impl CrossingStream {
    pub(super) const fn new(stream: TcpStream, unasked: Unasked) -> Self {
        Self { stream, unasked }
    }
}

impl AsyncRead for CrossingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CrossingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    /// Called when an answer has been written whole.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let unasked = self.unasked.clone();
        let mut bytes = unasked.0.lock();
        while !bytes.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &bytes))?;
            bytes.drain(..written);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
