//! The agent: terminates callers' connections, admits requests to its backend server and reports
//! the outcome of each request.

mod agent_error;
mod backend;
mod caller_connection;
mod caller_endpoint;
mod caller_request;
mod cid_generator;
mod control_task;
mod daemon;
mod flow_driver;
mod flow_handle;
mod headers;
mod outgoing;
mod peer_client;
mod peer_loads;
mod request_driver;
mod request_task;
mod responder;
mod return_path;
mod server;
mod tunnel_socket;
mod upstream;
mod views;

pub use agent_error::AgentError;
pub use daemon::run;
