//! The script language: agents are letters, flows are numbers, times are in milliseconds.

use std::{error::Error, fmt::Write, str::FromStr};

use arbutus_core::{
    flow::{Admission, Event, FirstPacket, FlowLimits, FlowPolicy},
    roster::AgentState,
    time::Timestamp,
};
use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use rstest::rstest;

use super::fleet::{Fleet, header, index, key, name};

type TestError = Box<dyn Error>;

#[derive(Default)]
struct Script {
    fleet: Option<Fleet>,
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> Result<String, TestError> {
        let mut args = command.consume_args();
        if command.name == "agents" {
            self.fleet = Some(start(&mut args)?);
            args.reject_next()?;
            return Ok(String::new());
        }
        let fleet = self.fleet.as_mut().ok_or("no agents yet")?;
        let agent = context.prefix.as_deref().map_or(Ok(0), letter)?;
        let output = match command.name.as_str() {
            "at" => {
                fleet.run_until(Timestamp::from_millis(positional(&mut args)?));
                String::new()
            }
            "links" => {
                fleet.links_up = args.next_pos().is_some_and(|arg| arg == "up");
                String::new()
            }
            "list" => list(fleet, agent, &mut args)?,
            "follow" => follow(fleet, agent, &mut args)?,
            "first" => first(fleet, agent, &mut args)?,
            "load" => format!("{:?}\n", fleet.agents[agent].load(fleet.now)),
            "counts" => counts(fleet, agent, &mut args)?,
            other => {
                let event = event(other, &mut args)?;
                fleet.feed(agent, event);
                String::new()
            }
        };
        args.reject_next()?;
        let notes = fleet.notes.drain(..).map(|note| note + "\n");
        Ok(output + &notes.collect::<String>())
    }

    fn end_script(&mut self) -> Result<(), TestError> {
        for agent in self.fleet.iter().flat_map(|fleet| &fleet.agents) {
            assert_eq!(agent.counters().invariant_violations, 0);
        }
        Ok(())
    }
}

fn start(args: &mut ArgumentConsumer) -> Result<Fleet, TestError> {
    let agents = positional(args)?;
    let defaults = FlowLimits::new();
    let limits = defaults
        .connections(keyed(args, "connections", defaults.connections)?)
        .slots(keyed(args, "slots", defaults.slots)?)
        .queue(keyed(args, "queue", defaults.queue)?)
        .ramp_ms(keyed(args, "ramp_ms", 0)?);
    Ok(Fleet::new(agents, limits, FlowPolicy::new()))
}

fn event(name: &str, args: &mut ArgumentConsumer) -> Result<Event, TestError> {
    Ok(match name {
        "opened" => Event::Opened(key(positional(args)?)),
        "requested" => Event::Requested(key(positional(args)?)),
        "closed" => Event::Closed(key(positional(args)?)),
        "requests" => Event::Requests {
            running: positional(args)?,
            queued: positional(args)?,
        },
        "free-slots" => Event::FreeSlots(positional(args)?),
        "shed" => Event::Shed,
        "drain" => Event::Drain,
        "resume" => Event::Resume,
        "stop" => Event::Stop,
        other => return Err(format!("no command {other}").into()),
    })
}

/// Sends the first packet of a flow to the agent of the prefix; the arguments name the other
/// candidates.
fn follow(
    fleet: &mut Fleet,
    agent: usize,
    args: &mut ArgumentConsumer,
) -> Result<String, TestError> {
    let flow = positional(args)?;
    let mut candidates = vec![agent];
    while let Some(arg) = args.next_pos() {
        candidates.push(letter(arg)?);
    }
    let path = fleet.follow(flow, &candidates);
    let agents: Vec<_> = path
        .agents
        .iter()
        .map(|agent| name(*agent).to_string())
        .collect();
    Ok(format!("{} {:?}\n", agents.join(" -> "), path.admission))
}

/// Gives one packet to one agent.
fn first(
    fleet: &mut Fleet,
    agent: usize,
    args: &mut ArgumentConsumer,
) -> Result<String, TestError> {
    let flow: u64 = positional(args)?;
    let header = header(&[], keyed(args, "hops", 0)?);
    let full_size = keyed(args, "bytes", 1_200)? >= 1_200;
    let packet = FirstPacket {
        header,
        dcid: &flow.to_be_bytes(),
        full_size,
    };
    let now = fleet.now;
    Ok(match fleet.agents[agent].on_first_packet(&packet, now) {
        Admission::PassOn(hop) => format!("pass on to {}\n", name(index(hop.to))),
        other => format!("{other:?}\n"),
    })
}

fn list(fleet: &mut Fleet, agent: usize, args: &mut ArgumentConsumer) -> Result<String, TestError> {
    let changed = letter(args.next_pos().ok_or("no agent")?)?;
    let state = match args.next_pos().ok_or("no state")? {
        "ready" => AgentState::Ready,
        "draining" => AgentState::Draining,
        "suspect" => AgentState::Suspect,
        "gone" => AgentState::Gone,
        other => return Err(format!("no state {other}").into()),
    };
    let state_of = |index| {
        if index == changed {
            state
        } else {
            AgentState::Ready
        }
    };
    fleet.set_roster(agent, state_of);
    Ok(String::new())
}

fn counts(fleet: &Fleet, agent: usize, args: &mut ArgumentConsumer) -> Result<String, TestError> {
    let counts = fleet.agents[agent].counters();
    let mut output = String::new();
    while let Some(arg) = args.next_pos() {
        let value = match arg {
            "accepted" => counts.accepted,
            "passed_on" => counts.passed_on,
            "refused" => counts.refused,
            "never_opened" => counts.never_opened,
            "reports_sent" => counts.reports_sent,
            other => return Err(format!("no count {other}").into()),
        };
        writeln!(output, "{arg} {value}")?;
    }
    Ok(output)
}

fn letter(text: &str) -> Result<usize, TestError> {
    match text.as_bytes() {
        [letter @ b'a'..=b'z'] => Ok(usize::from(letter - b'a')),
        _ => Err(format!("no agent {text}").into()),
    }
}

fn positional<T: FromStr<Err: Error + 'static>>(
    args: &mut ArgumentConsumer,
) -> Result<T, TestError> {
    Ok(args.next_pos().ok_or("an argument is missing")?.parse()?)
}

fn keyed<T: FromStr<Err: Error + 'static>>(
    args: &mut ArgumentConsumer,
    name: &str,
    default: T,
) -> Result<T, TestError> {
    Ok(args.take_key(name).map_or(Ok(default), str::parse::<T>)?)
}

#[rstest]
#[case::the_least_loaded_agent_admits_a_flow("best_peer")]
#[case::flows_just_sent_are_counted("just_sent")]
#[case::stale_reports_are_not_used("stale")]
#[case::a_draining_agent_admits_no_flows("drain")]
#[case::a_stopped_agent_does_not_resume("stop")]
#[case::full_agents_refuse_immediately("full")]
#[case::a_new_agent_ramps_up_to_its_share("ramp")]
#[case::datagrams_of_a_first_flight_go_to_one_agent("first_flight")]
#[case::a_lost_peer_gets_no_flows("lost_peer")]
#[case::sheds_count_as_load("sheds")]
#[case::flows_that_never_open_expire("never_opened")]
#[case::reports_are_rate_limited("reports")]
fn scenario(#[case] name: &str) {
    let path = format!("{}/tests/flow/scripts/{name}", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(&mut Script::default(), path).expect("the script runs");
}
