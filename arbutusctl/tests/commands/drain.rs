use arbutus_core::config::DesiredState;

use super::{desk::Desk, node::Nodes};

async fn state(desk: &Desk, name: &str) -> DesiredState {
    let snapshot = desk.stored().await.snapshot();
    let service = snapshot.services.values().find(|it| &*it.name == "lookup");
    service.expect("the service").backend_override(name).state
}

#[tokio::test]
async fn a_drain_and_its_undrain_are_in_force_by_one_command_each() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup"]);
    desk.run("a", &["apply"]).await;

    let drain = desk.run("a", &["drain", "lookup/lookup-1"]).await;
    assert_eq!(drain.code, Some(0), "{drain:?}");
    assert_eq!(state(&desk, "lookup-1").await, DesiredState::Drain);

    // The files know the name by now.
    let undrain = desk.run("a", &["undrain", "lookup-1"]).await;
    assert_eq!(undrain.code, Some(0), "{undrain:?}");
    assert_eq!(state(&desk, "lookup-1").await, DesiredState::Join);
    assert!(!desk.path("a").join("zz-drains.jsonc").exists());
}

#[tokio::test]
async fn an_undrain_goes_before_a_drain_in_another_file() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup"]);
    let text = r#"{ "services": { "lookup": {
        "backend_servers": { "lookup-1": { "state": "drain" } } } } }"#;
    desk.write("a", "mine.jsonc", text);
    desk.run("a", &["apply"]).await;
    assert_eq!(state(&desk, "lookup-1").await, DesiredState::Drain);
    let undrain = desk.run("a", &["undrain", "lookup-1"]).await;
    assert_eq!(undrain.code, Some(0), "{undrain:?}");
    assert_eq!(state(&desk, "lookup-1").await, DesiredState::Join);
}

#[tokio::test]
async fn a_backend_server_is_found_by_the_roster() {
    let desk = Desk::open().await;
    let nodes = Nodes::start(1).await;
    let admin = nodes.balancer.address.to_string();
    desk.write_services("a", "services.jsonc", &["lookup", "tables"]);
    desk.run("a", &["apply"]).await;
    let drain = ["drain", "lookup-1", "--admin", &admin, "--wait-ms", "0"];
    let drain = desk.run("a", &drain).await;
    assert_eq!(
        drain.code,
        Some(6),
        "accepted, and the nodes stay where they are: {drain:?}"
    );
    assert_eq!(state(&desk, "lookup-1").await, DesiredState::Drain);
}

#[tokio::test]
async fn a_name_that_nobody_knows_changes_nothing() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup"]);
    desk.run("a", &["apply"]).await;
    let drain = desk.run("a", &["drain", "lokup-1"]).await;
    assert_eq!(drain.code, Some(2), "{drain:?}");
    assert!(
        drain
            .err
            .contains("neither the roster nor the files name `lokup-1`")
    );
    assert!(!desk.path("a").join("zz-drains.jsonc").exists());
}
