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

/// A backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Target {
    service: Arc<str>,
    backend_server: Arc<str>,
}

/// Takes a backend server out of new work.
pub(super) async fn drain(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let target = target(options).await?;
    edit(options, |file| {
        file.set(&target.service, &target.backend_server, DesiredState::Drain);
    })?;
    apply::run(options).await
}

/// Takes back a drain.
pub(super) async fn undrain(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let target = target(options).await?;
    edit(options, |file| {
        file.clear(&target.service, &target.backend_server);
    })?;
    let loaded = folder::load(&options.folder)?;
    if state(&loaded, &target) != DesiredState::Join {
        // Another file of the folder still drains it; this one goes before it.
        edit(options, |file| {
            file.set(&target.service, &target.backend_server, DesiredState::Join);
        })?;
    }
    apply::run(options).await
}

fn edit(options: &Options, change: impl FnOnce(&mut DrainFile)) -> Result<(), Report<CtlError>> {
    let mut file = DrainFile::load(&options.folder).map_err(folder::settings_error)?;
    change(&mut file);
    file.store(&options.folder).map_err(folder::settings_error)
}

fn state(loaded: &OperatorFolder, target: &Target) -> DesiredState {
    let mut services = loaded.services.values();
    let service = services.find(|it| it.name == target.service);
    service.map_or(DesiredState::Join, |it| {
        it.backend_override(&target.backend_server).state
    })
}

/// The backend server that the arguments name.
async fn target(options: &Options) -> Result<Target, Report<CtlError>> {
    let usage = |message: String| Report::new(CtlError::Usage).attach(message);
    let [name] = options.arguments.as_slice() else {
        return Err(usage("one backend server must be named".to_owned()));
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
    let mut found = in_roster(options, name).await?;
    if found.is_empty() {
        found = in_files(&loaded, name);
    }
    found.retain(|service| known(service));
    match found.into_iter().collect::<Vec<_>>().as_slice() {
        [service] => Ok(Target {
            service: service.clone(),
            backend_server: name.as_str().into(),
        }),
        [] => Err(usage(format!(
            "neither the roster nor the files name `{name}`; give it as SERVICE/{name}"
        ))),
        several => Err(usage(format!(
            "several services have `{name}`: {}; give it as SERVICE/{name}",
            several.join(", ")
        ))),
    }
}

/// Services of which an agent announces the backend server called `name`.
async fn in_roster(options: &Options, name: &str) -> Result<BTreeSet<Arc<str>>, Report<CtlError>> {
    let connection = Connection::new(options)?;
    if connection.admin.is_empty() {
        return Ok(BTreeSet::new());
    }
    // A drain must be possible while no node answers: the files may know the name, too.
    let Ok(roster) = fleet::roster(&AdminClient::new(), &connection.admin).await else {
        return Ok(BTreeSet::new());
    };
    let agents = roster.agents.into_iter().filter(|it| *it.name == *name);
    Ok(agents.map(|it| it.service).collect())
}

fn in_files(loaded: &OperatorFolder, name: &str) -> BTreeSet<Arc<str>> {
    let has = |service: &&Arc<Service>| service.backend_servers.contains_key(name);
    let services = loaded.services.values().filter(has);
    services.map(|service| service.name.clone()).collect()
}
