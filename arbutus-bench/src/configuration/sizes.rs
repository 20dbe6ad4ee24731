use std::{fs, path::Path, sync::Arc, time::Instant};

use arbutus_core::apply::{ApplyMachine, Base, ChangeId, ChangeRecord, Services, StoredConfig};
use arbutus_settings::operator::OperatorFolder;
use error_stack::{Report, ResultExt};
use serde::Serialize;

use super::{options::Options, store::MemoryStore};
use crate::bench_error::BenchError;

/// Number of backend servers that the file of a service configures.
const BACKEND_SERVERS_PER_SERVICE: usize = 1;

/// Figures for one number of services.
#[derive(Debug, Serialize)]
struct Figures {
    services: usize,
    /// Time to load, merge and check the folder.
    check_ms: f64,
    /// Time to decide and encode one change. The latency of a real store is not included.
    change_ms: f64,
    /// Calls to the store for one change, including the read of the complete configuration.
    change_calls: usize,
    /// Bytes of values read and written for one change.
    change_bytes: usize,
    index_bytes: usize,
    largest_shard_bytes: usize,
}

/// Measures each number of services and prints its figures.
pub(super) fn measure(options: &Options) -> Result<(), Report<BenchError>> {
    if !options.json {
        println!("services  check ms  change ms  calls  bytes moved  index  largest shard");
    }
    for services in &options.services {
        let figures = measure_size(*services)?;
        if options.json {
            let line = serde_json::to_string(&figures).change_context(BenchError::Failed)?;
            println!("{line}");
        } else {
            println!(
                "{:>8}  {:>8.1}  {:>9.1}  {:>5}  {:>11}  {:>5}  {:>13}",
                figures.services,
                figures.check_ms,
                figures.change_ms,
                figures.change_calls,
                figures.change_bytes,
                figures.index_bytes,
                figures.largest_shard_bytes
            );
        }
    }
    Ok(())
}

fn measure_size(services: usize) -> Result<Figures, Report<BenchError>> {
    let folder = tempfile::tempdir().change_context(BenchError::Failed)?;
    write_folder(folder.path(), services)?;
    let start = Instant::now();
    let loaded = OperatorFolder::load(folder.path()).change_context(BenchError::Failed)?;
    let check_ms = start.elapsed().as_secs_f64() * 1_000.0;

    let mut store = MemoryStore::default();
    store.commit(change_machine(1, Base::default(), loaded.services.clone()));
    let base = base_of(&store.read());
    let (calls, bytes) = (store.calls, store.bytes);
    let mut desired = loaded.services;
    Arc::make_mut(&mut desired[services / 2]).requests.slots += 1;
    let start = Instant::now();
    store.commit(change_machine(2, base, desired));
    let change_ms = start.elapsed().as_secs_f64() * 1_000.0;
    Ok(Figures {
        services,
        check_ms,
        change_ms,
        change_calls: store.calls - calls,
        change_bytes: store.bytes - bytes,
        index_bytes: store.index_bytes(),
        largest_shard_bytes: store.largest_shard_bytes(),
    })
}

fn change_machine(id: u8, base: Base, desired: Services) -> ApplyMachine {
    let record = ChangeRecord::new(ChangeId::new([id; 16]), "bench", 0);
    ApplyMachine::new(base, desired, record, 1)
}

fn base_of(stored: &StoredConfig) -> Base {
    Base {
        version: stored.version(),
        change: None,
        services: stored.plain_services(),
        highest_seen: stored.version(),
    }
}

fn write_folder(folder: &Path, services: usize) -> Result<(), Report<BenchError>> {
    for number in 0..services {
        let name = format!("service-{number}");
        let (third, fourth) = (number / 250, number % 250 + 1);
        let servers: Vec<_> = (0..BACKEND_SERVERS_PER_SERVICE)
            .map(|server| format!("\"{name}-{server}\": {{ \"state\": \"join\" }}"))
            .collect();
        let text = format!(
            "{{ \"services\": {{ \"{name}\": {{\n  \"address\": \"10.0.{third}.{fourth}:443\",\n  \
             \"backend_servers\": {{ {} }}\n}} }} }}\n",
            servers.join(", ")
        );
        let path = folder.join(format!("{name}.jsonc"));
        fs::write(path, text).change_context(BenchError::Failed)?;
    }
    Ok(())
}
