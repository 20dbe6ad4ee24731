use std::{io, net::SocketAddr, sync::Arc};

use tokio::{net::TcpListener, task::JoinHandle};

use super::{Counts, Fault, serve::serve, shared::Shared};

/// A running stand-in; it ends when it is dropped.
#[derive(Debug)]
pub struct StoreStandIn {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl StoreStandIn {
    /// Starts a stand-in that serves on `listen`.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be had.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new());
        let task = tokio::spawn(serve(listener, shared.clone()));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Where it serves.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its URL, as settings name it.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Makes it misbehave.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }
}

impl Drop for StoreStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Runs a stand-in on `listen` for ever, after one line of JSON that tells its address.
///
/// # Errors
///
/// Fails where the address cannot be had.
pub async fn run(listen: SocketAddr) -> io::Result<()> {
    let stand_in = StoreStandIn::start(listen).await?;
    println!("{{\"store\":\"{}\"}}", stand_in.address());
    std::future::pending::<()>().await;
    Ok(())
}
