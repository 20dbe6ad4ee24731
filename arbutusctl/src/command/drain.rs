use std::{collections::BTreeSet, sync::Arc};

use arbutus_core::config::{DesiredState, Service};
use arbutus_settings::operator::{DrainFile, OperatorFolder};
use error_stack::Report;

use super::apply;
use crate::{
    CtlError, ExitStatus,
    connection::Connection,
    fleet::{self, AdminClient},
    folder,
    options::Options,
};

/// A backend server that a command drains or undrains.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Target {
    service: Arc<str>,
    backend_server: Arc<str>,
}

/// Drains a backend server, so that it gets no new work.
pub(super) async fn drain(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let target = parse_target(options).await?;
    edit_drain_file(options, |file| {
        file.set(&target.service, &target.backend_server, DesiredState::Drain);
    })?;
    apply::run(options).await
}

/// Reverts the drain of a backend server.
pub(super) async fn undrain(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let target = parse_target(options).await?;
    edit_drain_file(options, |file| {
        file.clear(&target.service, &target.backend_server);
    })?;
    let loaded = folder::load(&options.folder)?;
    if state(&loaded, &target) != DesiredState::Join {
        // Another file in the folder drains the backend server; the drain file overrides it.
        edit_drain_file(options, |file| {
            file.set(&target.service, &target.backend_server, DesiredState::Join);
        })?;
    }
    apply::run(options).await
}

/// Applies `change` to the drain file.
fn edit_drain_file(
    options: &Options,
    change: impl FnOnce(&mut DrainFile),
) -> Result<(), Report<CtlError>> {
    let mut file = DrainFile::load(&options.folder).map_err(folder::settings_error)?;
    change(&mut file);
    file.store(&options.folder).map_err(folder::settings_error)
}

/// Returns the state of the backend server in the loaded files.
fn state(loaded: &OperatorFolder, target: &Target) -> DesiredState {
    let mut services = loaded.services.values();
    let service = services.find(|it| it.name == target.service);
    service.map_or(DesiredState::Join, |it| {
        it.backend_override(&target.backend_server).state
    })
}

/// Returns the backend server that the arguments name.
async fn parse_target(options: &Options) -> Result<Target, Report<CtlError>> {
    let usage = |message: String| Report::new(CtlError::Usage).attach(message);
    let [name] = options.arguments.as_slice() else {
        return Err(usage("exactly one backend server must be given".to_owned()));
    };
    let loaded = folder::load(&options.folder)?;
    let known = |service: &str| loaded.services.values().any(|it| *it.name == *service);
    if let Some((service, server)) = name.split_once('/') {
        if !known(service) {
            return Err(usage(format!("the files have no service `{service}`")));
        }
        return Ok(Target {
            service: service.into(),
            backend_server: server.into(),
        });
    }
    let mut services = services_in_roster(options, name).await?;
    if services.is_empty() {
        services = services_in_files(&loaded, name);
    }
    services.retain(|service| known(service));
    match services.into_iter().collect::<Vec<_>>().as_slice() {
        [service] => Ok(Target {
            service: service.clone(),
            backend_server: name.as_str().into(),
        }),
        [] => Err(usage(format!(
            "neither the roster nor the files name `{name}`; give it as SERVICE/{name}"
        ))),
        several => Err(usage(format!(
            "several services have a backend server `{name}`: {}; give it as SERVICE/{name}",
            several.join(", ")
        ))),
    }
}

/// Returns the services of the roster's agents whose backend server is called `name`.
///
/// Returns no services if no node responds: a drain must be possible in this case too, since the
/// files may contain the name.
async fn services_in_roster(
    options: &Options,
    name: &str,
) -> Result<BTreeSet<Arc<str>>, Report<CtlError>> {
    let connection = Connection::new(options)?;
    if connection.admin.is_empty() {
        return Ok(BTreeSet::new());
    }
    let Ok(roster) = fleet::roster(&AdminClient::new(), &connection.admin).await else {
        return Ok(BTreeSet::new());
    };
    let agents = roster.agents.into_iter().filter(|it| *it.name == *name);
    Ok(agents.map(|it| it.service).collect())
}

/// Returns the services for which the files configure a backend server called `name`.
fn services_in_files(loaded: &OperatorFolder, name: &str) -> BTreeSet<Arc<str>> {
    let has = |service: &&Arc<Service>| service.backend_servers.contains_key(name);
    let services = loaded.services.values().filter(has);
    services.map(|service| service.name.clone()).collect()
}
