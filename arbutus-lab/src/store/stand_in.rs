use std::{io, net::SocketAddr, sync::Arc};

use tokio::{net::TcpListener, task::JoinHandle};

use super::{Counts, Fault, serve::serve, store_state::StoreState, table::Table};

/// A copy of the contents of a stand-in.
#[derive(Debug)]
pub struct StoreCopy(Table);

/// A running stand-in, which stops when it is dropped.
#[derive(Debug)]
pub struct StoreStandIn {
    address: SocketAddr,
    state: Arc<StoreState>,
    task: JoinHandle<()>,
}

impl StoreStandIn {
    /// Starts a stand-in on the address `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(StoreState::new());
        let task = tokio::spawn(serve(listener, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Returns the address on which the stand-in serves.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL of the stand-in, as used in settings.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the counters of calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Returns a copy of the contents.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.copy())
    }

    /// Has the store come back from an older copy. Indexes are given out again from the copy's on.
    pub fn restore(&self, copy: StoreCopy) {
        self.state.restore(copy.0);
    }

    /// Starts a fault.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }
}

impl Drop for StoreStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Runs a stand-in on the address `listen` until the process ends.
///
/// One line of JSON with the address is printed once the stand-in serves.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn run(listen: SocketAddr) -> io::Result<()> {
    let stand_in = StoreStandIn::start(listen).await?;
    println!("{{\"store\":\"{}\"}}", stand_in.address());
    std::future::pending::<()>().await;
    Ok(())
}
