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

/// Applies the files and waits until the nodes have the new version in force.
pub(super) async fn run(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let connection = Connection::new(options)?;
    let store = connection.store()?;
    // The base is read before the files, so that a change that another process of the operator
    // applies in between is detected as a race and never overwritten.
    let base = folder::load_base(&options.folder)?;
    let loaded = folder::load(&options.folder)?;
    let started = Instant::now();
    let base = match options.onto {
        Some(version) => match rebase_onto(store, base, version).await? {
            Ok(base) => base,
            Err(lost) => return Ok(ApplyReport::new(lost).print(options.json)),
        },
        None => resolve_pending(store, base).await,
    };
    let base = with_highest_node_version(base, &connection).await;
    let outcome = commit_files(options, store, base, &loaded).await?;
    let mut report = ApplyReport::new(outcome);
    if let Some(version) = report.version_in_force() {
        if !options.json {
            output::line(format_args!("{}", report.headline()));
        }
        report.nodes = Some(wait_for_nodes(options, &connection, version, started).await);
    }
    Ok(report.print(options.json))
}

/// Returns the base that `--onto` selects, or a lost race if the store has another version.
async fn rebase_onto(
    store: &StoreSettings,
    base: BaseFile,
    version: u64,
) -> Result<Result<BaseFile, Outcome>, Report<CtlError>> {
    let stored = read_stored(store).await.change_context(CtlError::Store)?;
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

/// Raises the highest version of `base` to that of the nodes whose given admin ports respond.
///
/// If the store lost its data, a new version must still be above the versions that nodes have in
/// force.
async fn with_highest_node_version(base: BaseFile, connection: &Connection) -> BaseFile {
    let client = AdminClient::new();
    let highest = fleet::highest_version(&client, &connection.admin).await;
    BaseFile {
        highest: base.highest.max(ConfigVersion::new(highest)),
        ..base
    }
}

/// Resolves a pending change of unknown outcome.
///
/// The change stays pending if the store cannot be read.
async fn resolve_pending(store: &StoreSettings, base: BaseFile) -> BaseFile {
    if base.pending.is_none() {
        return base;
    }
    match read_stored(store).await {
        Ok(stored) => base.resolve_pending(&stored),
        Err(_) => base,
    }
}

async fn read_stored(store: &StoreSettings) -> Result<StoredConfig, arbutus_io::store::StoreError> {
    ConfigReader::new(store).read().await
}

/// Commits the files on top of `base` and writes the new base file.
async fn commit_files(
    options: &Options,
    store: &StoreSettings,
    mut base: BaseFile,
    loaded: &OperatorFolder,
) -> Result<Outcome, Report<CtlError>> {
    let change = ChangeRecord::new(
        ChangeId::new(rand::random()),
        &options.author.clone().unwrap_or_else(user_and_host),
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
        .retry_policy(RetryPolicy::new().retry_timeout(options.retry_timeout));
    let outcome = commit(store, apply).await;
    let new_base = match &outcome {
        Outcome::Accepted { version, .. } => base.rebased_to(*version, Some(id), services),
        Outcome::AlreadyInForce { version } => base.rebased_to(*version, None, services),
        Outcome::Unknown { .. } => return Ok(outcome),
        _ => BaseFile {
            pending: None,
            ..base
        },
    };
    folder::store_base(&options.folder, &new_base)?;
    Ok(outcome)
}

/// Waits until every node has `version` in force, and reports the nodes that don't.
async fn wait_for_nodes(
    options: &Options,
    connection: &Connection,
    version: u64,
    started: Instant,
) -> NodesReport {
    if connection.admin.is_empty() {
        return NodesReport::NotAsked;
    }
    let mut reported = None;
    let progress = |in_force: usize, all: usize| {
        if !options.json && reported.replace((in_force, all)) != Some((in_force, all)) {
            output::line(format_args!("in force at {in_force} of {all} nodes"));
        }
    };
    let client = AdminClient::new();
    let admin = &connection.admin;
    let result =
        fleet::wait_for_version(&client, admin, version, options.node_timeout, progress).await;
    match result {
        Ok(nodes) => NodesReport::Asked {
            version,
            nodes,
            took: started.elapsed(),
        },
        Err(report) => NodesReport::Unreachable(format!("{report:#}")),
    }
}

fn now_unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch
        .ok()
        .and_then(|duration| u64::try_from(duration.as_millis()).ok())
        .unwrap_or_default()
}

/// Returns `user@host`, the default author of a change.
fn user_and_host() -> String {
    let user = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let host = std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default();
    format!("{user}@{}", host.trim())
}
