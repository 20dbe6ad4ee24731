//! Stand-ins for the platform (store, router, callers, backend servers) and the scenarios of the
//! review. It uses the standard library only. All addresses are loopback addresses.

mod backend;
mod caller;
mod http;
mod json;
mod packet;
mod process;
mod record;
mod scenarios;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let code = match args.get(1).map(String::as_str) {
        Some("new-agent") => scenarios::new_agent(&args[2], trouble),
        Some("restart-in-place") => scenarios::restart_in_place(&args[2], trouble),
        Some("clock-jump") => scenarios::clock_jump(&args[2], trouble),
        _ => {
            eprintln!("usage: standin SCENARIO RECORD-FILE");
            2
        }
    };
    std::process::exit(code);
}
