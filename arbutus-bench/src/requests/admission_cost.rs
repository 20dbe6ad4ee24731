use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
};

use arbutus_core::{
    config::{BalanceMode, RequestPolicy},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
    request::{
        Action, AgentIdentity, Attempt, Event, Method, RequestHead, RequestId, RequestMachine,
        UpstreamHead,
    },
    time::Timestamp,
};

use super::options::Options;

/// Number of repeatable requests to time.
const REPEATABLE_REQUESTS: u64 = 200_000;
/// Number of bound requests to time, below the bound on remembered idempotency keys.
const BOUND_REQUESTS: u64 = 90_000;

/// Measures the time of complete requests on one core and prints it.
///
/// A request consists of four events: arrival, connection, head and end of the response.
pub(super) fn print(options: &Options) {
    println!("\ncost of a request, four events each, one core");
    let mut machine = machine(options.seed);
    let head = RequestHead::new(Method::Get, "/codes");
    let time = time_requests(&mut machine, 0..REPEATABLE_REQUESTS, |_| head.clone());
    print_line("repeatable", REPEATABLE_REQUESTS, time);

    let token = obtain_binding(&mut machine);
    let head = RequestHead::new(Method::Other, "/confirm").binding(&token);
    let heads = |number: u64| head.clone().idempotency_key(&format!("key-{number}"));
    let first = REPEATABLE_REQUESTS + 1;
    let time = time_requests(&mut machine, first..first + BOUND_REQUESTS, heads);
    print_line("bound", BOUND_REQUESTS, time);
    let counters = machine.counters();
    println!(
        "{} ran, {} keys remembered, {} invariant violations",
        counters.ran,
        machine.remembered_keys(),
        counters.invariant_violations
    );
}

fn print_line(kind: &str, requests: u64, time: Duration) {
    let time_per_request = time / u32::try_from(requests).unwrap_or(u32::MAX);
    let per_second = Duration::from_secs(1).as_nanos() / time_per_request.as_nanos().max(1);
    println!(
        "{kind:<11} {:>6} ns a request, {per_second} requests/s",
        time_per_request.as_nanos()
    );
}

/// Passes complete requests through the state machine and returns the elapsed time.
fn time_requests(
    machine: &mut RequestMachine,
    numbers: std::ops::Range<u64>,
    head_of: impl Fn(u64) -> RequestHead,
) -> Duration {
    let start = Instant::now();
    for number in numbers {
        let now = Timestamp::from_micros(number);
        let request = RequestId::new(number);
        let attempt = Attempt::new(request, 1);
        let head = head_of(number);
        machine.handle(Event::Arrived { request, head }, now);
        machine.handle(Event::Connected { attempt }, now);
        let head = UpstreamHead::new(200);
        machine.handle(Event::UpstreamHead { attempt, head }, now);
        machine.handle(Event::UpstreamEnded { attempt }, now);
    }
    start.elapsed()
}

/// Returns the binding that the state machine offers to a first confirmation, or an empty string.
fn obtain_binding(machine: &mut RequestMachine) -> String {
    let request = RequestId::new(REPEATABLE_REQUESTS);
    let head = RequestHead::new(Method::Other, "/confirm").idempotency_key("first");
    let actions = machine.handle(Event::Arrived { request, head }, Timestamp::ZERO);
    match &actions[..] {
        [Action::Answer { answer, .. }] => answer.offer.as_deref().unwrap_or_default().to_owned(),
        _ => String::new(),
    }
}

fn machine(seed: u64) -> RequestMachine {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let identity = AgentIdentity {
        tunnel: address,
        control: address,
        tag: ServiceTag::of_name("lookup"),
        incarnation: Incarnation::new(1),
    };
    let keys = Arc::new(KeyRing::single(SystemKey::derive(&[1; 32])));
    let policy = RequestPolicy::new();
    RequestMachine::new(
        identity,
        policy,
        BalanceMode::Stay,
        keys,
        seed,
        Timestamp::ZERO,
    )
}
