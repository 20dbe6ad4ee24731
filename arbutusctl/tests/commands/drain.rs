use arbutus_core::config::DesiredState;

use super::{environment::TestEnvironment, node::Nodes};

/// Returns the stored state of a backend server of the service `lookup`.
async fn state(env: &TestEnvironment, name: &str) -> DesiredState {
    let snapshot = env.stored().await.snapshot();
    let service = snapshot.services.values().find(|it| &*it.name == "lookup");
    service.expect("the service").backend_override(name).state
}

#[tokio::test]
async fn drain_and_undrain_take_one_command_each() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    env.run("a", &["apply"]).await;

    let drain = env.run("a", &["drain", "lookup/lookup-1"]).await;
    assert_eq!(drain.code, Some(0), "{drain:?}");
    assert_eq!(state(&env, "lookup-1").await, DesiredState::Drain);

    // After the drain, the files contain the name, so that the service can be omitted.
    let undrain = env.run("a", &["undrain", "lookup-1"]).await;
    assert_eq!(undrain.code, Some(0), "{undrain:?}");
    assert_eq!(state(&env, "lookup-1").await, DesiredState::Join);
    assert!(!env.path("a").join("zz-drains.jsonc").exists());
}

#[tokio::test]
async fn an_undrain_overrides_a_drain_in_another_file() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    let text = r#"{ "services": { "lookup": {
        "backend_servers": { "lookup-1": { "state": "drain" } } } } }"#;
    env.write("a", "mine.jsonc", text);
    env.run("a", &["apply"]).await;
    assert_eq!(state(&env, "lookup-1").await, DesiredState::Drain);
    let undrain = env.run("a", &["undrain", "lookup-1"]).await;
    assert_eq!(undrain.code, Some(0), "{undrain:?}");
    assert_eq!(state(&env, "lookup-1").await, DesiredState::Join);
}

#[tokio::test]
async fn a_backend_server_is_found_in_the_roster() {
    let env = TestEnvironment::open().await;
    let nodes = Nodes::start(1).await;
    let admin = nodes.balancer.address.to_string();
    env.write_services("a", "services.jsonc", &["lookup", "tables"]);
    env.run("a", &["apply"]).await;
    let drain = ["drain", "lookup-1", "--admin", &admin, "--wait-ms", "0"];
    let drain = env.run("a", &drain).await;
    assert_eq!(
        drain.code,
        Some(6),
        "accepted, and the nodes keep their version: {drain:?}"
    );
    assert_eq!(state(&env, "lookup-1").await, DesiredState::Drain);
}

#[tokio::test]
async fn an_unknown_name_changes_nothing() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    env.run("a", &["apply"]).await;
    let drain = env.run("a", &["drain", "lokup-1"]).await;
    assert_eq!(drain.code, Some(2), "{drain:?}");
    assert!(
        drain
            .err
            .contains("neither the roster nor the files name `lokup-1`")
    );
    assert!(!env.path("a").join("zz-drains.jsonc").exists());
}
