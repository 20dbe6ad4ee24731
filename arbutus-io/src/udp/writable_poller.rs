use std::{
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use quinn::UdpPoller;
use tokio::net::UdpSocket;

type Wait = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Polls a socket for writability on behalf of one task.
pub struct WritablePoller {
    socket: Arc<UdpSocket>,
    /// The wait in progress, if any.
    wait: Option<Wait>,
}

impl WritablePoller {
    /// Creates a poller for `socket`.
    #[must_use]
    pub const fn new(socket: Arc<UdpSocket>) -> Self {
        Self { socket, wait: None }
    }
}

impl UdpPoller for WritablePoller {
    fn poll_writable(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = self.socket.clone();
        let wait = self
            .wait
            .get_or_insert_with(|| Box::pin(async move { socket.writable().await }));
        let result = ready!(wait.as_mut().poll(cx));
        self.wait = None;
        Poll::Ready(result)
    }
}

impl std::fmt::Debug for WritablePoller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WritablePoller").finish_non_exhaustive()
    }
}
