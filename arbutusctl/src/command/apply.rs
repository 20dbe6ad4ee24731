use std::time::{Instant, SystemTime, UNIX_EPOCH};

use arbutus_core::{
    apply::{ApplyMachine, ChangeId, ChangeRecord, Outcome, RetryPolicy, StoredConfig},
    config::ConfigVersion,
};
use arbutus_io::store::{ConfigReader, commit};
use arbutus_settings::{
    operator::{BaseFile, OperatorFolder, PendingChange},
    store::StoreSettings,
};
use error_stack::{Report, ResultExt};

use super::report::{ApplyReport, NodesReport};
use crate::{
    CtlError, ExitStatus,
    connection::Connection,
    fleet::{self, AdminClient},
    folder,
    options::Options,
    output,
};

/// Brings the files into force and waits for the nodes.
pub(super) async fn run(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let connection = Connection::new(options)?;
    let store = connection.store()?;
    // The base is read before the files: a change that another window applies in between is then
    // taken for a race, and never overwritten unseen.
    let base = folder::load_base(&options.folder)?;
    let loaded = folder::load(&options.folder)?;
    let clock = Instant::now();
    let base = match options.onto {
        Some(version) => match onto(store, base, version).await? {
            Ok(onto) => onto,
            Err(lost) => return Ok(ApplyReport::new(lost).print(options.json)),
        },
        None => settle(store, base).await,
    };
    let base = above_nodes(base, &connection).await;
    let outcome = change(options, store, base, &loaded).await?;
    let mut report = ApplyReport::new(outcome);
    if let Some(version) = report.version_in_force() {
        if !options.json {
            output::line(format_args!("{}", report.headline()));
        }
        report.nodes = Some(wait(options, &connection, version, clock).await);
    }
    Ok(report.print(options.json))
}

/// The base that `--onto` asks for, or the race where the store has another version.
async fn onto(
    store: &StoreSettings,
    base: BaseFile,
    version: u64,
) -> Result<Result<BaseFile, Outcome>, Report<CtlError>> {
    let stored = read(store).await.change_context(CtlError::Store)?;
    if stored.version() == ConfigVersion::new(version) {
        return Ok(Ok(base.rebased_to_stored(&stored)));
    }
    Ok(Err(Outcome::LostRace {
        version: stored.version(),
        by: stored.author(),
        theirs: Vec::new(),
        obsolete: Vec::new(),
    }))
}

/// Learns the highest version from the nodes that are known and answer.
///
/// Where the store lost its data, a new version must still be above what nodes have in force.
async fn above_nodes(base: BaseFile, connection: &Connection) -> BaseFile {
    let client = AdminClient::new();
    let highest = fleet::highest_version(&client, &connection.admin).await;
    BaseFile {
        highest: base.highest.max(ConfigVersion::new(highest)),
        ..base
    }
}

/// Settles a change whose end was not known; where the store is down, it stays open.
async fn settle(store: &StoreSettings, base: BaseFile) -> BaseFile {
    if base.pending.is_none() {
        return base;
    }
    match read(store).await {
        Ok(stored) => base.resolve_pending(&stored),
        Err(_) => base,
    }
}

async fn read(store: &StoreSettings) -> Result<StoredConfig, arbutus_io::store::StoreError> {
    ConfigReader::new(store).read().await
}

/// Commits the files over `base` and keeps the new base.
async fn change(
    options: &Options,
    store: &StoreSettings,
    mut base: BaseFile,
    loaded: &OperatorFolder,
) -> Result<Outcome, Report<CtlError>> {
    let change = ChangeRecord::new(
        ChangeId::new(rand::random()),
        &options.by.clone().unwrap_or_else(user_and_host),
        now_unix_ms(),
    );
    let services: Vec<_> = loaded.services.values().cloned().collect();
    base.pending = Some(PendingChange {
        id: change.id,
        services: services.clone(),
    });
    folder::store_base(&options.folder, &base)?;
    let id = change.id;
    let apply = ApplyMachine::new(base.base(), loaded.services.clone(), change, rand::random())
        .allow_removal(options.allow_removal)
        .retry_policy(RetryPolicy::new().retry_timeout(options.try_for));
    let outcome = commit(store, apply).await;
    let after = match &outcome {
        Outcome::Accepted { version, .. } => base.rebased_to(*version, Some(id), services),
        Outcome::AlreadyInForce { version } => base.rebased_to(*version, None, services),
        Outcome::Unknown { .. } => return Ok(outcome),
        _ => BaseFile {
            pending: None,
            ..base
        },
    };
    folder::store_base(&options.folder, &after)?;
    Ok(outcome)
}

/// Waits until every node has `version` in force.
async fn wait(
    options: &Options,
    connection: &Connection,
    version: u64,
    clock: Instant,
) -> NodesReport {
    if connection.admin.is_empty() {
        return NodesReport::NotAsked;
    }
    let mut told = None;
    let progress = |in_force: usize, all: usize| {
        if !options.json && told.replace((in_force, all)) != Some((in_force, all)) {
            output::line(format_args!("in force at {in_force} of {all} nodes"));
        }
    };
    let client = AdminClient::new();
    let admin = &connection.admin;
    let waited = fleet::wait_for_version(&client, admin, version, options.wait, progress).await;
    match waited {
        Ok(nodes) => NodesReport::Asked {
            version,
            nodes,
            took: clock.elapsed(),
        },
        Err(report) => NodesReport::Unreachable(format!("{report:#}")),
    }
}

fn now_unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since
        .ok()
        .and_then(|it| u64::try_from(it.as_millis()).ok())
        .unwrap_or_default()
}

fn user_and_host() -> String {
    let user = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let host = std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default();
    format!("{user}@{}", host.trim())
}
