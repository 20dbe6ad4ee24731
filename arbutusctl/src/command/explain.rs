use arbutus_core::{
    cid,
    ident::{Incarnation, ServiceTag},
    keys::KeyRing,
    roster::{AgentRecord, AgentState},
    route::{self, ForwardingDecision, NextHop, RouteTable},
    tunnel::Endpoints,
};
use arbutus_io::{
    admin::views::{AgentView, RosterView},
    store::ConfigReader,
};
use arbutus_settings::keys;
use error_stack::{Report, ResultExt};
use serde_json::json;

use crate::{
    CtlError, ExitStatus,
    connection::Connection,
    fleet::{self, AdminClient},
    folder,
    options::Options,
    output,
};

/// The size of the datagram that is built for the packet: the minimum for a QUIC Initial.
const DATAGRAM_BYTES: usize = 1_200;
/// The first byte of a QUIC short header.
const SHORT_HEADER: u8 = 0x40;
/// The first byte and the version of a QUIC version 1 Initial.
const INITIAL: [u8; 5] = [0xc0, 0, 0, 0, 1];

/// The packet to explain.
struct Packet {
    endpoints: Endpoints,
    dcid: Vec<u8>,
}

/// Shows which agent receives a packet, or why the packet is dropped.
pub(super) async fn run(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let packet = Packet::new(options)?;
    let keys = key_ring(options)?;
    let connection = Connection::new(options)?;
    let mut reader = ConfigReader::new(connection.store()?);
    let snapshot = reader
        .read()
        .await
        .change_context(CtlError::Store)?
        .snapshot();
    let roster = fleet::roster(&AdminClient::new(), &connection.admin).await?;
    let agents: Vec<_> = roster.agents.iter().filter_map(agent_record).collect();
    let table = RouteTable::build(&snapshot, &agents);
    let decision = route::forward(&table, &keys, packet.endpoints, &packet.datagram(&keys));
    let lines = describe(&decision, &roster);
    if options.json {
        output::line(format_args!("{}", json!({ "explanation": lines })));
    } else {
        for line in &lines {
            output::line(format_args!("{line}"));
        }
    }
    Ok(ExitStatus::Done)
}

impl Packet {
    fn new(options: &Options) -> Result<Self, Report<CtlError>> {
        let missing =
            |name: &str| Report::new(CtlError::Usage).attach(format!("{name} is missing"));
        let source = options.caller.ok_or_else(|| missing("--caller"))?;
        let destination = options.to.ok_or_else(|| missing("--to"))?;
        let digits = options.dcid.as_ref().ok_or_else(|| missing("--dcid"))?;
        let dcid = parse_hex(digits).ok_or_else(|| {
            let hint = "--dcid must be up to 20 bytes in hexadecimal";
            Report::new(CtlError::Usage).attach(hint)
        })?;
        Ok(Self {
            endpoints: Endpoints {
                source,
                destination,
            },
            dcid,
        })
    }

    /// Builds a datagram with the packet's connection ID.
    ///
    /// The datagram is a short-header packet if the ID was issued by an agent with one of `keys`,
    /// and an Initial, which opens a flow, otherwise.
    fn datagram(&self, keys: &KeyRing) -> Vec<u8> {
        let mut datagram = if cid::decode(&self.dcid, keys).is_ok() {
            vec![SHORT_HEADER]
        } else {
            let length = u8::try_from(self.dcid.len()).unwrap_or(u8::MAX);
            [INITIAL.as_slice(), &[length]].concat()
        };
        datagram.extend_from_slice(&self.dcid);
        datagram.resize(DATAGRAM_BYTES, 0);
        datagram
    }
}

fn key_ring(options: &Options) -> Result<KeyRing, Report<CtlError>> {
    let hint = "--keys is missing";
    let path = options.keys.as_ref();
    let path = path.ok_or_else(|| Report::new(CtlError::Usage).attach(hint))?;
    keys::load_set(path).map_err(folder::settings_error)
}

/// Parses up to 20 bytes in hexadecimal.
fn parse_hex(digits: &str) -> Option<Vec<u8>> {
    let valid = digits.len() <= 40 && digits.len().is_multiple_of(2) && digits.is_ascii();
    let byte = |index: usize| u8::from_str_radix(digits.get(index..index + 2)?, 16).ok();
    valid.then(|| (0..digits.len()).step_by(2).map(byte).collect())?
}

/// Converts an agent of the roster view; returns `None` unless it is ready, draining or suspect.
fn agent_record(view: &AgentView) -> Option<AgentRecord> {
    let state = match &*view.state {
        "ready" => AgentState::Ready,
        "draining" => AgentState::Draining,
        "suspect" => AgentState::Suspect,
        _ => return None,
    };
    Some(AgentRecord {
        tunnel: view.tunnel,
        control: view.control,
        name: view.name.clone(),
        failure_domain: view.failure_domain.clone(),
        tag: ServiceTag::of_name(&view.service),
        admin_port: view.admin.port(),
        incarnation: Incarnation::new(view.incarnation),
        version: view.version,
        state,
        weight_percent: view.weight_percent,
    })
}

fn describe(decision: &ForwardingDecision, roster: &RosterView) -> Vec<String> {
    match decision {
        ForwardingDecision::Drop(reason) => vec![format!("the packet is dropped: {reason:?}")],
        ForwardingDecision::Established(hop) => {
            let owner = "the connection ID names the owner, regardless of the roster";
            vec![owner.to_owned(), agent_line("owner", hop.to, roster)]
        }
        ForwardingDecision::Opening(hop) => {
            let opening = "the connection ID names no owner, so the packet opens a flow";
            std::iter::once(opening.to_owned())
                .chain(candidate_lines(hop, roster))
                .collect()
        }
    }
}

fn candidate_lines(hop: &NextHop, roster: &RosterView) -> Vec<String> {
    let others = hop.header.candidates.as_slice().iter();
    std::iter::once(&hop.to)
        .chain(others)
        .enumerate()
        .map(|(index, address)| agent_line(&format!("candidate {}", index + 1), *address, roster))
        .collect()
}

fn agent_line(label: &str, tunnel: std::net::SocketAddrV4, roster: &RosterView) -> String {
    let agent = roster.agents.iter().find(|agent| agent.tunnel == tunnel);
    match agent {
        None => format!("{label}: {tunnel}, which is not in the roster"),
        Some(agent) => format!(
            "{label}: {} of {} at {tunnel} in {}, {}",
            agent.name, agent.service, agent.failure_domain, agent.state
        ),
    }
}
