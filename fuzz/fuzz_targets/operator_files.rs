//! Loads a configuration folder that contains one operator file.
#![no_main]

use std::{env, fs, process};

use arbutus_settings::operator::OperatorFolder;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &[u8]| {
    let folder = env::temp_dir().join(format!("arbutus-fuzz-files-{}", process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder can be written");
    fs::write(folder.join("10-fuzz.json"), text).expect("the temporary folder can be written");
    let _ = OperatorFolder::load(&folder);
});
