use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::Duration,
};

use crate::command::Command;

/// A parsed command line.
#[derive(Debug)]
pub(crate) enum Invocation {
    /// Print the help text of a command, or of the program.
    Help(Option<Command>),
    /// Print the version.
    Version,
    /// Run a command.
    Run(Command, Box<Options>),
}

/// The options of all commands; each command accepts some of them.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// The operator's folder.
    pub(crate) folder: PathBuf,
    /// The store's URL.
    pub(crate) store: Option<String>,
    /// The prefix of the store's keys.
    pub(crate) prefix: Option<String>,
    /// The admin ports of some balancers.
    pub(crate) admin: Vec<SocketAddr>,
    /// Whether results are printed as JSON.
    pub(crate) json: bool,
    /// Whether services may be removed.
    pub(crate) allow_removal: bool,
    /// The version that the files replace, regardless of the version that the folder is based on.
    pub(crate) onto: Option<u64>,
    /// The time for which `apply` waits for nodes.
    pub(crate) node_timeout: Duration,
    /// The time for which a change is retried.
    pub(crate) retry_timeout: Duration,
    /// The author of the change.
    pub(crate) author: Option<String>,
    /// The source address of the packet to explain.
    pub(crate) caller: Option<SocketAddrV4>,
    /// The destination address of the packet to explain.
    pub(crate) to: Option<SocketAddrV4>,
    /// The destination connection ID of the packet to explain, in hexadecimal.
    pub(crate) dcid: Option<String>,
    /// The file `keys.jsonc` of the key set.
    pub(crate) keys: Option<PathBuf>,
    /// The names of services.
    pub(crate) services: Vec<String>,
    /// The time for which `watch` runs; unlimited if `None`.
    pub(crate) watch_duration: Option<Duration>,
    /// The positional arguments.
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
            node_timeout: Duration::from_secs(14),
            retry_timeout: Duration::from_secs(30),
            author: None,
            caller: None,
            to: None,
            dcid: None,
            keys: None,
            services: Vec::new(),
            watch_duration: None,
            arguments: Vec::new(),
        }
    }
}
