use std::time::{Duration, Instant};

use arbutus_core::{
    apply::{Action, ApplyMachine, Event, KeyLayout, Outcome, ShardKey, ShardValue},
    time::Timestamp,
};
use arbutus_settings::store::StoreSettings;
use futures_util::{StreamExt, TryStreamExt, stream};

use super::{ConfigReader, StoreClient, StoreError};

/// Maximum number of shards written concurrently.
const PARALLEL_WRITES: usize = 4;

/// Runs `apply` against the store until it finishes, and returns its outcome.
pub async fn commit(settings: &StoreSettings, mut apply: ApplyMachine) -> Outcome {
    let client = StoreClient::new(settings);
    let layout = KeyLayout::new(&settings.prefix);
    let mut reader = ConfigReader::new(settings);
    let clock = Instant::now();
    let mut event = Event::Started;
    loop {
        event = match apply.handle(event, timestamp(clock)) {
            Action::Read => Event::Read(reader.read().await.map_err(|error| error.failure())),
            Action::WriteShards(shards) => {
                let written = write_shards(&client, &layout, shards).await;
                Event::ShardsWritten(written.map_err(|error| error.failure()))
            }
            Action::SwapIndex { expected, bytes } => {
                let key = layout.index();
                let swapped = client.compare_and_swap(&key, expected, bytes).await;
                Event::Swapped(swapped.map_err(|error| error.failure()))
            }
            Action::Wait => {
                let until = apply.next_wakeup().unwrap_or_default();
                tokio::time::sleep(until.since(timestamp(clock))).await;
                Event::Woken
            }
            Action::Finish(outcome) => {
                delete_obsolete(&client, &layout, &outcome).await;
                return outcome;
            }
        };
    }
}

fn timestamp(clock: Instant) -> Timestamp {
    // The extra microsecond ensures that a timer which has fired is not considered early.
    Timestamp::ZERO + clock.elapsed() + Duration::from_micros(1)
}

async fn write_shards(
    client: &StoreClient,
    layout: &KeyLayout,
    shards: Vec<ShardValue>,
) -> Result<(), StoreError> {
    let writes = shards.into_iter().map(|shard| {
        let key = layout.shard(&shard.key);
        async move { client.put(&key, shard.bytes).await }
    });
    stream::iter(writes)
        .buffer_unordered(PARALLEL_WRITES)
        .try_collect()
        .await
}

/// Deletes shards that no index refers to. A shard that cannot be deleted is harmless.
async fn delete_obsolete(client: &StoreClient, layout: &KeyLayout, outcome: &Outcome) {
    for key in outcome.obsolete() {
        delete_shard(client, layout, key).await;
    }
}

async fn delete_shard(client: &StoreClient, layout: &KeyLayout, key: &ShardKey) {
    if let Err(error) = client.delete(&layout.shard(key)).await {
        tracing::warn!(shard = key.number, %error, "an obsolete shard was not deleted");
    }
}
