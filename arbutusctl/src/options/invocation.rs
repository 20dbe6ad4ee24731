use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::Duration,
};

use crate::command::Command;

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum Invocation {
    /// The help text, of one command or of all.
    Help(Option<Command>),
    /// The version.
    Version,
    /// A command.
    Run(Command, Box<Options>),
}

/// The options of all commands; each command takes some of them.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// The operator's folder.
    pub(crate) folder: PathBuf,
    /// The store's URL.
    pub(crate) store: Option<String>,
    /// What the store's keys begin with.
    pub(crate) prefix: Option<String>,
    /// Admin ports of some balancers.
    pub(crate) admin: Vec<SocketAddr>,
    /// Whether results are JSON.
    pub(crate) json: bool,
    /// Whether services may be removed.
    pub(crate) allow_removal: bool,
    /// The version that the folder is put over, whatever it was based on.
    pub(crate) onto: Option<u64>,
    /// How long nodes are waited for.
    pub(crate) wait: Duration,
    /// How long a change is tried.
    pub(crate) try_for: Duration,
    /// Who makes the change.
    pub(crate) by: Option<String>,
    /// Source of the packet to explain.
    pub(crate) caller: Option<SocketAddrV4>,
    /// Destination of the packet to explain.
    pub(crate) to: Option<SocketAddrV4>,
    /// Connection ID of the packet to explain.
    pub(crate) dcid: Option<String>,
    /// The file that names the system's keys.
    pub(crate) keys: Option<PathBuf>,
    /// Names of services.
    pub(crate) services: Vec<String>,
    /// How long `watch` runs.
    pub(crate) run_for: Option<Duration>,
    /// Arguments that are no options.
    pub(crate) arguments: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            folder: PathBuf::from("."),
            store: None,
            prefix: None,
            admin: Vec::new(),
            json: false,
            allow_removal: false,
            onto: None,
            wait: Duration::from_secs(14),
            try_for: Duration::from_secs(30),
            by: None,
            caller: None,
            to: None,
            dcid: None,
            keys: None,
            services: Vec::new(),
            run_for: None,
            arguments: Vec::new(),
        }
    }
}
