use std::{
    fs,
    net::Ipv4Addr,
    path::{Path, PathBuf},
};

use arbutus_core::apply::StoredConfig;
use arbutus_io::store::ConfigReader;
use arbutus_lab::store::StoreStandIn;
use arbutus_settings::store::StoreSettings;
use serde_json::Value;
use tokio::process::Command;

/// A test environment: a store, and folders of operators in which the program can be run.
pub struct TestEnvironment {
    pub store: StoreStandIn,
    root: tempfile::TempDir,
}

/// The result of one run of the program.
#[derive(Debug)]
pub struct Run {
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

impl Run {
    /// Parses the standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("the output is JSON")
    }
}

impl TestEnvironment {
    pub async fn open() -> Self {
        let store = StoreStandIn::start((Ipv4Addr::LOCALHOST, 0).into());
        Self {
            store: store.await.expect("a free port"),
            root: tempfile::tempdir().expect("a folder"),
        }
    }

    /// Returns the path of `folder`, and creates the folder if it does not exist.
    pub fn path(&self, folder: &str) -> PathBuf {
        let path = self.root.path().join(folder);
        fs::create_dir_all(&path).expect("a folder");
        path
    }

    /// Writes a file in a folder.
    pub fn write(&self, folder: &str, file: &str, text: &str) {
        fs::write(self.path(folder).join(file), text).expect("a written file");
    }

    /// Writes a file with the services `names`, each with an address of its own.
    pub fn write_services(&self, folder: &str, file: &str, names: &[&str]) {
        let service = |(number, name): (u16, &&str)| {
            format!("    \"{name}\": {{ \"address\": \"192.0.2.{number}:443\" }}")
        };
        let services: Vec<_> = (1..).zip(names).map(service).collect();
        let text = format!(
            "{{\n  \"services\": {{\n{}\n  }}\n}}\n",
            services.join(",\n")
        );
        self.write(folder, file, &text);
    }

    /// Copies a folder with all its files, as a second operator would.
    pub fn copy(&self, from: &str, to: &str) {
        let (from, to) = (self.path(from), self.path(to));
        for entry in fs::read_dir(from).expect("a folder") {
            let entry = entry.expect("an entry");
            fs::copy(entry.path(), to.join(entry.file_name())).expect("a copy");
        }
    }

    /// Runs a command in a folder against the store.
    pub async fn run(&self, folder: &str, args: &[&str]) -> Run {
        let url = self.store.url();
        let store = [args, &["--store", &url]].concat();
        run_in(&self.path(folder), &store).await
    }

    /// Returns the stored configuration.
    pub async fn stored(&self) -> StoredConfig {
        let settings = StoreSettings::new(&self.store.url());
        let mut reader = ConfigReader::new(&settings);
        reader.read().await.expect("a readable store")
    }
}

/// Runs the program in a folder.
pub async fn run_in(folder: &Path, args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_arbutusctl"))
        .args(args)
        .current_dir(folder)
        .output()
        .await
        .expect("the program runs");
    Run {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}
