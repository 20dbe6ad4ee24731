use super::{
    environment::{TestEnvironment, run_in},
    node::Nodes,
};

#[tokio::test]
async fn every_command_has_help_and_the_version_is_printed() {
    let env = TestEnvironment::open().await;
    let folder = env.path("a");
    for command in [
        "check", "apply", "status", "diff", "drain", "undrain", "explain", "watch", "keys",
    ] {
        let help = run_in(&folder, &[command, "--help"]).await;
        assert_eq!(help.code, Some(0));
        assert!(help.out.contains(&format!("Usage: arbutusctl {command}")) || command == "undrain");
    }
    let version = run_in(&folder, &["--version"]).await;
    assert_eq!(
        version.out,
        concat!("arbutusctl ", env!("CARGO_PKG_VERSION"), "\n")
    );
}

#[tokio::test]
async fn the_exit_code_of_diff_shows_whether_there_are_differences() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    let before = env.run("a", &["diff"]).await;
    assert_eq!(before.code, Some(3));
    assert_eq!(before.out, "against version 0:\n  service lookup: added\n");
    env.run("a", &["apply"]).await;
    let after = env.run("a", &["diff", "--json"]).await;
    assert_eq!(after.code, Some(0));
    assert_eq!(after.json()["version"], 1);
}

#[tokio::test]
async fn status_shows_the_nodes_even_while_the_store_is_down() {
    let env = TestEnvironment::open().await;
    let nodes = Nodes::start(1).await;
    let admin = nodes.balancer.address.to_string();
    env.write_services("a", "services.jsonc", &["lookup"]);
    env.run("a", &["apply"]).await;
    let table = env.run("a", &["status", "--admin", &admin]).await;
    assert_eq!(table.code, Some(0), "{table:?}");
    assert!(table.out.contains("192.0.2.1:443"), "{table:?}");

    let fault = arbutus_lab::store::Fault::Refuse { for_ms: 60_000 };
    env.store.set_fault(fault);
    let json = env.run("a", &["status", "--json", "--admin", &admin]).await;
    assert_eq!(json.code, Some(0), "{json:?}");
    assert!(json.json()["store"]["error"].is_string());
    assert_eq!(json.json()["nodes"][1]["version"], 1);
}

#[tokio::test]
async fn explain_names_the_candidates_of_a_first_packet() {
    let env = TestEnvironment::open().await;
    let nodes = Nodes::start(1).await;
    let admin = nodes.balancer.address.to_string();
    env.write_services("a", "services.jsonc", &["lookup"]);
    env.run("a", &["apply"]).await;
    let made = run_in(
        &env.path("a"),
        &["keys", "init", "keys", "--service", "lookup"],
    )
    .await;
    assert_eq!(made.code, Some(0), "{made:?}");
    let packet = |to| {
        let packet = ["explain", "--caller", "198.51.100.4:5000", "--to", to];
        let id = ["--dcid", "0102030405060708", "--keys", "keys/keys.jsonc"];
        [&packet[..], &id[..], &["--admin", &admin]].concat()
    };
    let known = env.run("a", &packet("192.0.2.1:443")).await;
    assert_eq!(known.code, Some(0), "{known:?}");
    assert!(
        known
            .out
            .contains("candidate 1: lookup-1 of lookup at 127.0.0.1:2")
    );
    let unknown = env.run("a", &packet("192.0.2.9:443")).await;
    assert!(
        unknown
            .out
            .contains("the packet is dropped: UnknownAddress"),
        "{unknown:?}"
    );
}

#[tokio::test]
async fn watch_first_prints_one_line_for_each_node() {
    let env = TestEnvironment::open().await;
    let nodes = Nodes::start(4).await;
    let admin = nodes.balancer.address.to_string();
    let watch = ["watch", "--for-ms", "0", "--admin", &admin];
    let run = run_in(&env.path("a"), &watch).await;
    assert_eq!(run.code, Some(0), "{run:?}");
    assert_eq!(run.out.lines().count(), 2);
    assert!(
        run.out
            .contains("event=node name=lookup-1 role=agent state=ready version=4")
    );
}
