use arbutus_core::apply::StoredConfig;
use arbutus_io::{
    admin::views::{AgentView, RosterView},
    store::ConfigReader,
};
use comfy_table::{Table, presets};
use error_stack::Report;
use serde_json::{Value, json};

use crate::{
    CtlError, ExitStatus,
    connection::Connection,
    fleet::{self, AdminClient, NodeVersion},
    options::Options,
    output,
};

/// The state of the store and the nodes.
struct Status {
    /// The stored configuration, or why it could not be read.
    stored: Option<Result<StoredConfig, String>>,
    roster: RosterView,
    nodes: Vec<NodeVersion>,
}

/// Shows services, nodes and versions.
///
/// The nodes are shown even if the store cannot be read.
pub(super) async fn run(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let connection = Connection::new(options)?;
    let stored = match connection.store() {
        Ok(store) => {
            let read = ConfigReader::new(store).read().await;
            Some(read.map_err(|error| error.to_string()))
        }
        Err(_) => None,
    };
    let client = AdminClient::new();
    let roster = fleet::roster(&client, &connection.admin).await?;
    let nodes = fleet::versions(&client, fleet::nodes(&roster)).await;
    let status = Status {
        stored,
        roster,
        nodes,
    };
    if options.json {
        output::line(format_args!("{}", status.json()));
    } else {
        status.print();
    }
    Ok(ExitStatus::Done)
}

impl Status {
    fn print(&self) {
        match &self.stored {
            None => output::line(format_args!("store: not queried; no --store is given")),
            Some(Err(reason)) => output::line(format_args!("store: {reason}")),
            Some(Ok(stored)) => {
                output::line(format_args!(
                    "store: version {} by {}",
                    stored.version(),
                    stored.author()
                ));
                output::line(format_args!("{}", self.service_table(stored)));
            }
        }
        output::line(format_args!("{}", self.node_table()));
    }

    /// Returns the table of services, with the number of their agents.
    fn service_table(&self, stored: &StoredConfig) -> Table {
        let mut table = table(&["service", "address", "changed at", "ready", "others"]);
        for it in stored.services.values() {
            let agents = || self.agents(&it.service.name);
            let ready = agents().filter(|agent| is_ready(agent)).count();
            table.add_row([
                it.service.name.to_string(),
                it.service.address.to_string(),
                it.changed_at.to_string(),
                ready.to_string(),
                (agents().count() - ready).to_string(),
            ]);
        }
        table
    }

    /// Returns the agents of a service that have not left.
    fn agents<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a AgentView> {
        let agents = self.roster.agents.iter();
        agents.filter(move |agent| *agent.service == *service && &*agent.state != "gone")
    }

    /// Returns the table of nodes.
    fn node_table(&self) -> Table {
        let mut table = table(&[
            "node",
            "role",
            "failure domain",
            "state",
            "version",
            "admin",
        ]);
        for it in &self.nodes {
            let version = it
                .version
                .map_or("no response".to_owned(), |it| it.to_string());
            table.add_row([
                it.node.name.to_string(),
                it.node.role.name().to_owned(),
                it.node.failure_domain.to_string(),
                it.node.state.to_string(),
                version,
                it.node.admin.to_string(),
            ]);
        }
        table
    }

    fn json(&self) -> Value {
        let store = match &self.stored {
            None => Value::Null,
            Some(Err(reason)) => json!({ "error": reason }),
            Some(Ok(stored)) => json!({
                "version": stored.version(),
                "by": stored.author(),
                "services": stored.services.values().collect::<Vec<_>>(),
            }),
        };
        json!({ "store": store, "nodes": self.nodes, "agents": self.roster.agents })
    }
}

fn is_ready(agent: &AgentView) -> bool {
    &*agent.state == "ready"
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_FULL_CONDENSED);
    table.set_header(header.to_vec());
    table
}
