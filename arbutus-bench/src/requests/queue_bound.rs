use std::time::Duration;

use arbutus_core::config::RequestPolicy;

use super::{fleet::Fleet, load::Load, options::Options, plain_queue, tally::Tally};

const MEAN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 500;
/// Offered loads, in percent of the capacity of all slots.
const LOADS_PERCENT: [u32; 4] = [50, 80, 95, 150];
/// Largest numbers of queued requests to compare.
const QUEUE_BOUNDS: [u32; 4] = [0, 5, 20, 1_000];

/// Compares bounds of the request queue with an unbounded queue and prints a table.
pub(super) fn print(options: &Options) {
    println!("\nqueue bound: 5 slots, mean service 50 ms, deadline 500 ms, one backend server");
    println!(
        "load%  queue      in time%  not-run%  unknown%  wasted work%  p99 answer ms  p99 refusal ms"
    );
    for load_percent in LOADS_PERCENT {
        let load = |queue| Load {
            agents: 1,
            policy: RequestPolicy {
                queue,
                deadline_ms: DEADLINE_MS,
                ..RequestPolicy::new()
            },
            offered_percent: load_percent,
            mean_service_time: MEAN_SERVICE_TIME,
            failing_servers: 0,
        };
        let unbounded = plain_queue::run(&load(0), options.seed, options.duration());
        print_row(load_percent, "unbounded", &unbounded);
        for queue in QUEUE_BOUNDS {
            let tally = Fleet::new(load(queue), options.seed).run(options.duration());
            print_row(load_percent, &queue.to_string(), &tally);
        }
    }
}

fn print_row(load_percent: u32, queue: &str, tally: &Tally) {
    println!(
        "{load_percent:>5}  {queue:<9}  {:>8.2}  {:>8.2}  {:>8.2}  {:>12.2}  {:>13.1}  {:>14.1}",
        tally.percent_of_requests(tally.in_time),
        tally.percent_of_requests(tally.not_run),
        tally.percent_of_requests(tally.unknown),
        tally.wasted_percent(),
        tally.answered_ms(0.99),
        tally.refused_ms(0.99),
    );
}
