use std::time::Duration;

use arbutus_core::config::RequestPolicy;

use super::{fleet::Fleet, load::Load, options::Options};

const AGENTS: u16 = 7;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Offered loads, in percent of the capacity of all slots.
const LOADS_PERCENT: [u32; 2] = [50, 80];
/// Numbers of backend servers at which every request fails.
const FAILING_SERVERS: [u16; 4] = [0, 1, 3, 7];
/// Retry budgets to compare, in percent of the requests. A budget of 1,000 percent is never
/// exhausted and stands for unlimited retries.
const BUDGETS_PERCENT: [u32; 4] = [0, 10, 20, 1_000];

/// Compares retry budgets while some backend servers fail every request, and prints a table.
pub(super) fn print(options: &Options) {
    println!("\nretry budget: 7 backend servers, 5 slots each, some of which fail every request");
    println!("load%  failing  budget%  in time%  not-run%  unknown%  attempts/request  p99 ms");
    for load_percent in LOADS_PERCENT {
        for failing_servers in FAILING_SERVERS {
            for retry_percent in BUDGETS_PERCENT {
                let load = Load {
                    agents: AGENTS,
                    policy: RequestPolicy {
                        retry_percent,
                        deadline_ms: 1_000,
                        ..RequestPolicy::new()
                    },
                    offered_percent: load_percent,
                    mean_service_time: MEAN_SERVICE_TIME,
                    failing_servers,
                };
                let tally = Fleet::new(load, options.seed).run(options.duration());
                println!(
                    "{load_percent:>5}  {failing_servers:>7}  {retry_percent:>7}  {:>8.2}  {:>8.2}  {:>8.2}  {:>16.3}  {:>6.1}",
                    tally.percent_of_requests(tally.in_time),
                    tally.percent_of_requests(tally.not_run),
                    tally.percent_of_requests(tally.unknown),
                    tally.attempts_per_request(),
                    tally.answered_ms(0.99),
                );
            }
        }
    }
}
