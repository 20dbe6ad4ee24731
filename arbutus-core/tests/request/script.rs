//! The script language: each command is one event, its output the resulting actions.
//!
//! A prefix names the agent (default `a`). Requests are identified by number, and the current
//! attempt of a request is the last one that the state machine opened. Bindings are named `b1`,
//! `b2`, … in the order in which they are offered.

use std::{
    collections::BTreeMap,
    error::Error,
    fmt::Write,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use arbutus_core::{
    config::{BalanceMode, RequestPolicy},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
    request::{
        Action, AgentIdentity, Answer, Attempt, Event, Method, Origin, Outcome, PeerCapacity,
        RequestHead, RequestId, RequestMachine, UpstreamHead,
    },
    time::Timestamp,
};
use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use rstest::rstest;

type TestError = Box<dyn Error>;

#[derive(Default)]
struct Script {
    agents: BTreeMap<String, RequestMachine>,
    now: Timestamp,
    attempts: BTreeMap<RequestId, Attempt>,
    tokens: Vec<Arc<str>>,
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> Result<String, TestError> {
        let name = context.prefix.clone().unwrap_or_else(|| "a".to_owned());
        let mut args = command.consume_args();
        let mut output = String::new();
        match command.name.as_str() {
            "agent" => self.start_agent(&name, &mut args)?,
            "at" => output = self.run_until(&name, number(&mut args)?)?,
            "free-slots" => {
                let machine = self.agents.get(&name).ok_or("no such agent")?;
                output = machine.free_slots().to_string();
            }
            "counters" => output = self.counters(&name, &mut args)?,
            other => {
                let event = self.event(other, &mut args)?;
                output = self.feed(&name, event)?;
            }
        }
        args.reject_next()?;
        Ok(output)
    }

    fn end_script(&mut self) -> Result<(), TestError> {
        for machine in self.agents.values() {
            assert_eq!(machine.counters().invariant_violations, 0);
        }
        Ok(())
    }
}

impl Script {
    fn start_agent(&mut self, name: &str, args: &mut ArgumentConsumer) -> Result<(), TestError> {
        let offset = u16::from(name.as_bytes()[0]);
        let identity = AgentIdentity {
            tunnel: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 5_000 + offset),
            control: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 6_000 + offset),
            tag: ServiceTag::of_name(args.take_key("service").unwrap_or("lookup")),
            incarnation: Incarnation::new(key(args, "incarnation", 1)?),
        };
        let seed = key(args, "seed", u64::from(offset))?;
        let keys_max = key(args, "keys_max", 100)?;
        let (policy, balance) = policy(args)?;
        let keys = Arc::new(KeyRing::single(SystemKey::derive(&[1; 32])));
        let machine = RequestMachine::new(identity, policy, balance, keys, seed, self.now);
        self.agents
            .insert(name.to_owned(), machine.max_remembered_keys(keys_max));
        Ok(())
    }

    /// Advances time and delivers the wakeups that the state machine requests.
    fn run_until(&mut self, name: &str, millis: u64) -> Result<String, TestError> {
        let end = Timestamp::from_millis(millis);
        let mut output = String::new();
        loop {
            let machine = self.agents.get(name).ok_or("no such agent")?;
            let Some(at) = machine.next_wakeup().filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            let actions = self.feed(name, Event::Tick)?;
            if actions.is_empty() {
                return Err("the state machine requested a wakeup without any action due".into());
            }
            for line in actions.lines() {
                writeln!(output, "{} ms: {line}", at.as_millis())?;
            }
        }
        self.now = end;
        Ok(output)
    }

    fn counters(&self, name: &str, args: &mut ArgumentConsumer) -> Result<String, TestError> {
        let machine = self.agents.get(name).ok_or("no such agent")?;
        let counters = format!("{:?}", machine.counters());
        let mut output = String::new();
        while let Some(wanted) = args.next_pos() {
            let at = counters
                .find(&format!(" {wanted}:"))
                .ok_or("no such counter")?;
            let value: &str = counters[at + 1..].split([',', ' ']).nth(1).unwrap_or("");
            writeln!(output, "{wanted} {value}")?;
        }
        Ok(output)
    }

    fn event(&self, name: &str, args: &mut ArgumentConsumer) -> Result<Event, TestError> {
        let event = match name {
            "get" => self.arrival(Method::Get, args)?,
            "post" => self.arrival(Method::Other, args)?,
            "connected" => Event::Connected {
                attempt: self.attempt(args)?,
            },
            "head" => {
                let attempt = self.attempt(args)?;
                let mut head = UpstreamHead::new(number(args)?);
                head.outcome = args.take_key("outcome").and_then(Outcome::parse);
                head.retry_after_s = args.take_key("retry_after").map(str::parse).transpose()?;
                Event::UpstreamHead { attempt, head }
            }
            "ended" => Event::UpstreamEnded {
                attempt: self.attempt(args)?,
            },
            "failed" => {
                let attempt = self.attempt(args)?;
                let sent = args.next_pos() != Some("unsent");
                Event::UpstreamFailed { attempt, sent }
            }
            "closed" => Event::UpstreamClosed {
                attempt: self.attempt(args)?,
            },
            "cancel" => Event::CallerCancelled {
                request: RequestId::new(number(args)?),
            },
            "peers" => peers(args)?,
            "policy" => {
                let (policy, balance) = policy(args)?;
                Event::PolicyChanged { policy, balance }
            }
            "drain" => Event::DrainChanged { draining: true },
            "undrain" => Event::DrainChanged { draining: false },
            "stop" => Event::StopBegan,
            "stop-deadline" => Event::StopDeadline,
            "tick" => Event::Tick,
            other => return Err(format!("unknown command {other}").into()),
        };
        Ok(event)
    }

    fn arrival(&self, method: Method, args: &mut ArgumentConsumer) -> Result<Event, TestError> {
        let request = RequestId::new(number(args)?);
        let mut head = RequestHead::new(method, args.take_key("path").unwrap_or("/"));
        if let Some(key) = args.take_key("key") {
            head = head.idempotency_key(key);
        }
        if let Some(binding) = args.take_key("binding") {
            head = head.binding(self.token(binding));
        }
        if let Some(millis) = args.take_key("deadline") {
            head = head.time_left(Duration::from_millis(millis.parse()?));
        }
        if args.take_key("from") == Some("peer") {
            head = head.origin(Origin::Peer);
        }
        Ok(Event::Arrived { request, head })
    }

    /// Returns the token named `b1`, `b2`, …; any other name is used as the token.
    fn token<'a>(&'a self, name: &'a str) -> &'a str {
        let number = name.strip_prefix('b').and_then(|rest| rest.parse().ok());
        let token = number.and_then(|number: usize| self.tokens.get(number - 1));
        token.map_or(name, |token| token)
    }

    /// Parses an attempt: the current one of a request, or an earlier one as `REQUEST/NUMBER`.
    fn attempt(&self, args: &mut ArgumentConsumer) -> Result<Attempt, TestError> {
        let text = args.next_pos().ok_or("a request is missing")?;
        if let Some((request, number)) = text.split_once('/') {
            let request = RequestId::new(request.parse()?);
            return Ok(Attempt::new(request, number.parse()?));
        }
        let request = RequestId::new(text.parse()?);
        let attempt = self.attempts.get(&request);
        Ok(*attempt.ok_or("the request had no attempt")?)
    }

    fn feed(&mut self, name: &str, event: Event) -> Result<String, TestError> {
        let machine = self.agents.get_mut(name).ok_or("no such agent")?;
        let actions = machine.handle(event, self.now);
        let mut output = String::new();
        for action in actions {
            let line = self.describe(action);
            writeln!(output, "{line}")?;
        }
        Ok(output)
    }

    fn describe(&mut self, action: Action) -> String {
        match action {
            Action::Connect { attempt } => {
                self.attempts.insert(attempt.request, attempt);
                format!("{} connect", attempt.request.get())
            }
            Action::Send { attempt, time_left } => {
                format!(
                    "{} send, {} ms left",
                    attempt.request.get(),
                    time_left.as_millis()
                )
            }
            Action::HandOver { attempt, peer, .. } => {
                self.attempts.insert(attempt.request, attempt);
                format!("{} hand over to {}", attempt.request.get(), agent_at(peer))
            }
            Action::PassOn { attempt, peer, .. } => {
                self.attempts.insert(attempt.request, attempt);
                format!("{} pass on to {}", attempt.request.get(), agent_at(peer))
            }
            Action::Relay { attempt, offer } => {
                let offer = self.name_offer(offer);
                format!("{} relay ran{offer}", attempt.request.get())
            }
            Action::Finish { request } => format!("{} finish", request.get()),
            Action::Abort { request } => format!("{} abort", request.get()),
            Action::Answer { request, answer } => self.describe_answer(request, answer),
            Action::Cancel { attempt } => format!("{} cancel upstream", attempt.request.get()),
        }
    }

    fn describe_answer(&mut self, request: RequestId, answer: Answer) -> String {
        let retry = answer
            .retry_after_s
            .map_or(String::new(), |seconds| format!(" retry-after={seconds}"));
        let offer = self.name_offer(answer.offer);
        let (status, outcome) = (answer.status, answer.outcome);
        let reason = answer.reason.as_str();
        format!(
            "{} answer {status} {outcome} {reason}{retry}{offer}",
            request.get()
        )
    }

    fn name_offer(&mut self, offer: Option<Arc<str>>) -> String {
        let Some(token) = offer else {
            return String::new();
        };
        self.tokens.push(token);
        format!(" offer=b{}", self.tokens.len())
    }
}

/// Returns the name of the agent with this control address.
fn agent_at(control: SocketAddrV4) -> char {
    let offset = control.port().saturating_sub(6_000);
    char::from(u8::try_from(offset).unwrap_or(b'?'))
}

fn number<T: std::str::FromStr>(args: &mut ArgumentConsumer) -> Result<T, TestError>
where
    T::Err: Error + 'static,
{
    Ok(args.next_pos().ok_or("a number is missing")?.parse()?)
}

fn key<T: std::str::FromStr>(
    args: &mut ArgumentConsumer,
    name: &str,
    default: T,
) -> Result<T, TestError>
where
    T::Err: Error + 'static,
{
    Ok(args.take_key(name).map_or(Ok(default), str::parse)?)
}

fn policy(args: &mut ArgumentConsumer) -> Result<(RequestPolicy, BalanceMode), TestError> {
    let paths = args.take_key("repeatable").into_iter().map(Arc::from);
    let policy = RequestPolicy {
        slots: key(args, "slots", 1)?,
        queue: key(args, "queue", 2)?,
        deadline_ms: key(args, "deadline_ms", 1_000)?,
        retry_percent: key(args, "retry_percent", 10)?,
        binding_ms: key(args, "binding_ms", 10_000)?,
        repeatable_paths: paths.collect(),
        ..RequestPolicy::new()
    };
    let balance = match args.take_key("balance") {
        Some("spread") => BalanceMode::Spread,
        _ => BalanceMode::Stay,
    };
    Ok((policy, balance))
}

fn peers(args: &mut ArgumentConsumer) -> Result<Event, TestError> {
    let mut peers = Vec::new();
    while let Some((name, free)) = args.next_key() {
        let offset = u16::from(name.as_bytes()[0]);
        peers.push(PeerCapacity {
            control: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 6_000 + offset),
            free_slots: free.parse()?,
        });
    }
    Ok(Event::PeersChanged { peers })
}

#[rstest]
#[case::a_response_is_relayed_completely_or_aborted("relay")]
#[case::the_queue_is_bounded_by_length_and_deadline("queue")]
#[case::a_request_that_misses_its_deadline_is_answered_immediately("missed_deadline")]
#[case::a_slot_is_freed_when_its_connection_is_closed("cancel")]
#[case::a_shed_request_is_answered_not_run("shed")]
#[case::late_events_change_nothing("late")]
#[case::a_repeatable_request_is_retried_within_the_budget("retry")]
#[case::a_full_agent_passes_repeatable_requests_on("spread")]
#[case::a_key_runs_once_under_its_binding("binding")]
#[case::a_binding_expires_before_its_keys_are_forgotten("expiry")]
#[case::a_closed_key_stays_closed_when_memory_is_full("memory_full")]
#[case::another_agent_hands_a_bound_request_over("hand_over")]
#[case::requests_of_a_lost_owner_stay_unknown("owner_gone")]
#[case::a_draining_agent_serves_its_connections("drain")]
#[case::a_stopping_agent_finishes_open_requests("stop")]
#[case::a_failing_backend_server_has_no_free_slots_for_peers("failing")]
#[case::configured_paths_are_repeatable("paths")]
fn scenario(#[case] name: &str) {
    let path = format!(
        "{}/tests/request/scripts/{name}",
        env!("CARGO_MANIFEST_DIR")
    );
    goldenscript::run(&mut Script::default(), path).expect("the script runs");
}
