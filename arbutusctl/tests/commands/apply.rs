use std::sync::atomic::Ordering;

use arbutus_core::config::ConfigVersion;
use arbutus_lab::store::{Fault, KeyFilter};
use rstest::rstest;

use super::{
    environment::{TestEnvironment, run_in},
    node::Nodes,
};

#[tokio::test]
async fn a_first_apply_is_accepted_and_a_second_has_nothing_to_do() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup", "tables"]);
    let first = env.run("a", &["apply"]).await;
    assert_eq!(first.code, Some(0), "{first:?}");
    assert!(first.out.starts_with("accepted as version 1\n"));
    let second = env.run("a", &["apply", "--json"]).await;
    assert_eq!(second.code, Some(0));
    assert_eq!(second.json()["outcome"], "already-in-force");
    assert_eq!(env.stored().await.services.len(), 2);
}

#[tokio::test]
async fn a_lost_race_shows_the_other_change_and_overwrites_nothing() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    env.run("a", &["apply"]).await;
    env.copy("a", "b");
    env.write_services("a", "more.jsonc", &["lookup", "tables"]);
    env.run("a", &["apply", "--by", "ana"]).await;

    env.write_services("b", "more.jsonc", &["lookup", "lists"]);
    let lost = env.run("b", &["apply"]).await;
    assert_eq!(lost.code, Some(3), "{lost:?}");
    assert_eq!(
        lost.out,
        "not accepted: version 2 by ana was applied first; nothing was overwritten\n\
         changes since the version that the folder is based on:\n  service tables: added\n\
         include the changes in the files, or replace version 2 with --onto 2\n"
    );
    assert_eq!(env.stored().await.version(), ConfigVersion::new(2));

    let onto = env
        .run("b", &["apply", "--onto", "2", "--allow-removal"])
        .await;
    assert_eq!(onto.code, Some(0), "{onto:?}");
    let names: Vec<_> = env
        .stored()
        .await
        .snapshot()
        .services
        .into_values()
        .collect();
    assert!(names.iter().any(|it| &*it.name == "lists"));
}

#[tokio::test]
async fn a_removal_must_be_allowed() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup", "tables"]);
    env.run("a", &["apply"]).await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    let refused = env.run("a", &["apply"]).await;
    assert_eq!(refused.code, Some(1));
    assert!(refused.out.contains("would remove tables"), "{refused:?}");
    let allowed = env.run("a", &["apply", "--allow-removal"]).await;
    assert_eq!(allowed.code, Some(0));
}

#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_the_store() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    env.store.set_fault(Fault::LoseAnswer {
        key: KeyFilter::Index,
    });
    let run = env.run("a", &["apply", "--json"]).await;
    assert_eq!(run.code, Some(0), "{run:?}");
    assert_eq!(run.json()["version"], 1);
}

#[tokio::test]
async fn a_change_of_unknown_outcome_is_resolved_by_the_next_run() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    env.store.set_fault(Fault::LoseAnswer {
        key: KeyFilter::Index,
    });
    let unknown = env.run("a", &["apply", "--try-ms", "0"]).await;
    assert_eq!(unknown.code, Some(5), "{unknown:?}");
    // The files have changed since; the operator's own earlier change must not count as a race.
    env.write_services("a", "services.jsonc", &["lookup", "tables"]);
    let next = env.run("a", &["apply", "--json"]).await;
    assert_eq!(next.code, Some(0), "{next:?}");
    assert_eq!(next.json()["version"], 2);
}

#[tokio::test]
async fn a_change_is_not_accepted_if_the_store_is_down() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    env.store.set_fault(Fault::Refuse { for_ms: 60_000 });
    let run = env.run("a", &["apply", "--try-ms", "500"]).await;
    assert_eq!(run.code, Some(4), "{run:?}");
}

#[tokio::test]
async fn apply_waits_until_every_node_has_the_version() {
    let env = TestEnvironment::open().await;
    let nodes = Nodes::start(0).await;
    let admin = nodes.balancer.address.to_string();
    env.write_services("a", "services.jsonc", &["lookup"]);
    let late = ["apply", "--json", "--wait-ms", "0", "--admin", &admin];
    let run = env.run("a", &late).await;
    assert_eq!(run.code, Some(6), "{run:?}");
    assert_eq!(run.json()["nodes"]["in_force"], 0);

    nodes.balancer.version.store(1, Ordering::Relaxed);
    let run = env.run("a", &late).await;
    assert_eq!(run.code, Some(6), "{run:?}");
    assert_eq!(run.json()["nodes"]["missing"][0]["name"], "lookup-1");

    nodes.agent.version.store(1, Ordering::Relaxed);
    let run = env.run("a", &["apply", "--admin", &admin]).await;
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(run.out.contains("in force at 2 of 2 nodes"));
}

#[tokio::test]
async fn after_the_store_lost_its_data_a_new_version_is_above_that_of_the_nodes() {
    let env = TestEnvironment::open().await;
    let nodes = Nodes::start(57).await;
    let admin = nodes.balancer.address.to_string();
    env.write_services("a", "services.jsonc", &["lookup"]);
    let args = ["apply", "--json", "--wait-ms", "0", "--admin", &admin];
    let run = env.run("a", &args).await;
    assert_eq!(run.json()["version"], 58, "{run:?}");
    assert_eq!(run.code, Some(6), "no node has it yet: {run:?}");
}

#[tokio::test]
async fn the_services_of_an_emptied_store_are_restored_with_a_higher_version() {
    let (before, emptied) = (TestEnvironment::open().await, TestEnvironment::open().await);
    before.write_services("a", "services.jsonc", &["lookup"]);
    before.run("a", &["apply"]).await;
    let folder = before.path("a");
    let url = emptied.store.url();
    let lost = run_in(&folder, &["apply", "--store", &url]).await;
    assert_eq!(lost.code, Some(3), "{lost:?}");
    assert!(
        lost.out.contains("the store contains no configuration"),
        "{lost:?}"
    );
    let again = ["apply", "--onto", "0", "--json", "--store", &url];
    let again = run_in(&folder, &again).await;
    assert_eq!(again.code, Some(0), "{again:?}");
    assert_eq!(again.json()["version"], 2);
}

#[tokio::test]
async fn defaults_are_read_from_the_folder() {
    let env = TestEnvironment::open().await;
    env.write_services("a", "services.jsonc", &["lookup"]);
    let defaults = format!("{{ \"store\": \"{}\" }}", env.store.url());
    env.write("a", ".arbutusctl.jsonc", &defaults);
    let run = run_in(&env.path("a"), &["apply"]).await;
    assert_eq!(run.code, Some(0), "{run:?}");
}

struct FailingCommand {
    args: &'static [&'static str],
    code: i32,
    /// Text that standard error must contain.
    message: &'static str,
}

#[rstest]
#[case::no_command(FailingCommand { args: &[], code: 2, message: "no command is given" })]
#[case::an_unknown_command(FailingCommand {
    args: &["aply"], code: 2, message: "unknown command or option `aply`",
})]
#[case::an_option_of_another_command(FailingCommand {
    args: &["check", "--onto", "1"], code: 2, message: "unknown command or option `--onto`",
})]
#[case::no_store(FailingCommand { args: &["apply"], code: 2, message: "--store is missing" })]
#[case::findings(FailingCommand {
    args: &["check"],
    code: 1,
    message: "broken.jsonc:1:27: the key `address` is missing",
})]
#[case::findings_before_the_store(FailingCommand {
    args: &["apply", "--store", "http://127.0.0.1:1"],
    code: 1,
    message: "broken.jsonc:1:29: unknown key `adres`; did you mean `address`?",
})]
#[tokio::test]
async fn errors_are_printed_to_standard_error(#[case] case: FailingCommand) {
    let env = TestEnvironment::open().await;
    let text = "{ \"services\": { \"lookup\": { \"adres\": \"192.0.2.1:443\" } } }";
    env.write("a", "broken.jsonc", text);
    let run = run_in(&env.path("a"), case.args).await;
    assert_eq!(run.code, Some(case.code), "{run:?}");
    assert!(run.err.contains(case.message), "{run:?}");
}
