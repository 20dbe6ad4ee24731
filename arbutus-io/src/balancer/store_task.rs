use std::{sync::Arc, time::Duration};

use arbutus_core::{
    config::{ConfigVersion, Snapshot},
    config_sync::StoreRead,
    membership::BalancerEvent,
};
use arbutus_settings::store::StoreSettings;
use tokio::sync::mpsc;

use crate::store::{ConfigReader, StoreError};

/// Maximum time that the store holds a watch open while nothing changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Capacity of the queues of reads and of their results.
const QUEUE_CAPACITY: usize = 4;

/// Reads the configuration from the platform's store, one read at a time.
#[derive(Debug)]
pub(super) struct StoreTask;

impl StoreTask {
    /// Starts the task and returns the sender of reads and the receiver of one event per read.
    pub(super) fn spawn(
        settings: &StoreSettings,
    ) -> (mpsc::Sender<StoreRead>, mpsc::Receiver<BalancerEvent>) {
        let (reads, mut rx) = mpsc::channel(QUEUE_CAPACITY);
        let (tx, answers) = mpsc::channel(QUEUE_CAPACITY);
        let mut reader = ConfigReader::new(settings);
        tokio::spawn(async move {
            while let Some(read) = rx.recv().await {
                let event = execute(&mut reader, read).await;
                if tx.send(event).await.is_err() {
                    break;
                }
            }
        });
        (reads, answers)
    }
}

/// Executes a read and returns its result as an event.
async fn execute(reader: &mut ConfigReader, read: StoreRead) -> BalancerEvent {
    let (known, result) = match read {
        StoreRead::Watch(known) => (known, watch(reader).await),
        StoreRead::Poll(known) => (known, poll(reader).await),
    };
    match result {
        Ok(Some(snapshot)) if is_newer(&snapshot, known) => {
            BalancerEvent::ConfigRead(Arc::new(snapshot))
        }
        Ok(_) => BalancerEvent::ConfigUnchanged,
        Err(err) => {
            tracing::info!(?err, "store_read_failed");
            BalancerEvent::StoreUnreachable
        }
    }
}

async fn watch(reader: &mut ConfigReader) -> Result<Option<Snapshot>, StoreError> {
    let stored = reader.watch(WATCH_TIMEOUT).await?;
    Ok(stored.map(|stored| stored.snapshot()))
}

async fn poll(reader: &mut ConfigReader) -> Result<Option<Snapshot>, StoreError> {
    let stored = reader.read().await?;
    Ok(Some(stored.snapshot()))
}

fn is_newer(snapshot: &Snapshot, known: ConfigVersion) -> bool {
    snapshot.version > known
}
