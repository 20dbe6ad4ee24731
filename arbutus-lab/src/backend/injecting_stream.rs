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

/// Responses that belong to no request, to be sent after the current answer.
#[derive(Debug, Clone, Default)]
pub(super) struct InjectedResponses(Arc<Mutex<Vec<u8>>>);

impl InjectedResponses {
    /// Appends a response with `body` that belongs to no request.
    pub(super) fn add(&self, body: &str) {
        let mut bytes = self.0.lock();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        bytes.extend_from_slice(head.as_bytes());
        bytes.extend_from_slice(body.as_bytes());
    }
}

/// A connection that can inject responses that belong to no request.
#[derive(Debug)]
pub(super) struct InjectingStream {
    stream: TcpStream,
    injected: InjectedResponses,
}

impl InjectingStream {
    pub(super) const fn new(stream: TcpStream, injected: InjectedResponses) -> Self {
        Self { stream, injected }
    }
}

impl AsyncRead for InjectingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for InjectingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    /// Writes the injected responses, then flushes.
    ///
    /// The HTTP server flushes after it has written a complete answer.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let injected = self.injected.clone();
        let mut bytes = injected.0.lock();
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
