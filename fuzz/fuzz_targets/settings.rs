//! Loads the settings files of the balancer and the agent.
#![no_main]

use std::{env, fs, process};

use arbutus_settings::{agent::AgentSettings, balancer::BalancerSettings};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &[u8]| {
    let path = env::temp_dir().join(format!("arbutus-fuzz-settings-{}.json", process::id()));
    fs::write(&path, text).expect("the temporary folder can be written");
    let _ = BalancerSettings::load(&path);
    let _ = AgentSettings::load(&path);
});
