use std::sync::atomic::Ordering;

use arbutus_core::config::ConfigVersion;
use arbutus_lab::store::{Fault, KeyFilter};
use rstest::rstest;

use super::{
    desk::{Desk, run_in},
    node::Nodes,
};

#[tokio::test]
async fn a_first_apply_is_accepted_and_a_second_has_nothing_to_do() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup", "tables"]);
    let first = desk.run("a", &["apply"]).await;
    assert_eq!(first.code, Some(0), "{first:?}");
    assert!(first.out.starts_with("accepted as version 1\n"));
    let second = desk.run("a", &["apply", "--json"]).await;
    assert_eq!(second.code, Some(0));
    assert_eq!(second.json()["outcome"], "already-in-force");
    assert_eq!(desk.stored().await.services.len(), 2);
}

#[tokio::test]
async fn a_race_is_told_with_the_others_change_and_overwrites_nothing() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup"]);
    desk.run("a", &["apply"]).await;
    desk.copy("a", "b");
    desk.write_services("a", "more.jsonc", &["lookup", "tables"]);
    desk.run("a", &["apply", "--by", "ana"]).await;

    desk.write_services("b", "more.jsonc", &["lookup", "lists"]);
    let lost = desk.run("b", &["apply"]).await;
    assert_eq!(lost.code, Some(3), "{lost:?}");
    assert_eq!(
        lost.out,
        "not accepted: version 2 by ana came first; nothing was overwritten\n\
         what changed against the base of the folder:\n  service tables: added\n\
         bring it into the files, or put them over it with --onto 2\n"
    );
    assert_eq!(desk.stored().await.version(), ConfigVersion::new(2));

    let onto = desk
        .run("b", &["apply", "--onto", "2", "--allow-removal"])
        .await;
    assert_eq!(onto.code, Some(0), "{onto:?}");
    let names: Vec<_> = desk
        .stored()
        .await
        .snapshot()
        .services
        .into_values()
        .collect();
    assert!(names.iter().any(|it| &*it.name == "lists"));
}

#[tokio::test]
async fn a_removal_needs_leave() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup", "tables"]);
    desk.run("a", &["apply"]).await;
    desk.write_services("a", "services.jsonc", &["lookup"]);
    let refused = desk.run("a", &["apply"]).await;
    assert_eq!(refused.code, Some(1));
    assert!(refused.out.contains("would remove tables"), "{refused:?}");
    let allowed = desk.run("a", &["apply", "--allow-removal"]).await;
    assert_eq!(allowed.code, Some(0));
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup"]);
    desk.store.set_fault(Fault::LoseAnswer {
        key: KeyFilter::Index,
    });
    let run = desk.run("a", &["apply", "--json"]).await;
    assert_eq!(run.code, Some(0), "{run:?}");
    assert_eq!(run.json()["version"], 1);
}

#[tokio::test]
async fn a_change_of_unknown_end_is_settled_by_the_next_run() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup"]);
    desk.store.set_fault(Fault::LoseAnswer {
        key: KeyFilter::Index,
    });
    let unknown = desk.run("a", &["apply", "--try-ms", "0"]).await;
    assert_eq!(unknown.code, Some(5), "{unknown:?}");
    // The operator has moved on; the own earlier change is not taken for a race.
    desk.write_services("a", "services.jsonc", &["lookup", "tables"]);
    let next = desk.run("a", &["apply", "--json"]).await;
    assert_eq!(next.code, Some(0), "{next:?}");
    assert_eq!(next.json()["version"], 2);
}

#[tokio::test]
async fn a_store_that_is_down_ends_in_a_certain_no() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup"]);
    desk.store.set_fault(Fault::Refuse { for_ms: 60_000 });
    let run = desk.run("a", &["apply", "--try-ms", "500"]).await;
    assert_eq!(run.code, Some(4), "{run:?}");
}

#[tokio::test]
async fn apply_waits_until_every_node_has_the_version() {
    let desk = Desk::open().await;
    let nodes = Nodes::start(0).await;
    let admin = nodes.balancer.address.to_string();
    desk.write_services("a", "services.jsonc", &["lookup"]);
    let late = ["apply", "--json", "--wait-ms", "0", "--admin", &admin];
    let run = desk.run("a", &late).await;
    assert_eq!(run.code, Some(6), "{run:?}");
    assert_eq!(run.json()["nodes"]["in_force"], 0);

    nodes.balancer.version.store(1, Ordering::Relaxed);
    let run = desk.run("a", &late).await;
    assert_eq!(run.code, Some(6), "{run:?}");
    assert_eq!(run.json()["nodes"]["missing"][0]["name"], "lookup-1");

    nodes.agent.version.store(1, Ordering::Relaxed);
    let run = desk.run("a", &["apply", "--admin", &admin]).await;
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(run.out.contains("in force at 2 of 2 nodes"));
}

#[tokio::test]
async fn after_the_store_lost_its_data_a_version_is_above_that_of_the_nodes() {
    let desk = Desk::open().await;
    let nodes = Nodes::start(57).await;
    let admin = nodes.balancer.address.to_string();
    desk.write_services("a", "services.jsonc", &["lookup"]);
    let args = ["apply", "--json", "--wait-ms", "0", "--admin", &admin];
    let run = desk.run("a", &args).await;
    assert_eq!(run.json()["version"], 58, "{run:?}");
    assert_eq!(run.code, Some(6), "no node has it yet: {run:?}");
}

#[tokio::test]
async fn what_an_emptied_store_lost_is_put_back_under_a_higher_version() {
    let (before, emptied) = (Desk::open().await, Desk::open().await);
    before.write_services("a", "services.jsonc", &["lookup"]);
    before.run("a", &["apply"]).await;
    let folder = before.path("a");
    let url = emptied.store.url();
    let lost = run_in(&folder, &["apply", "--store", &url]).await;
    assert_eq!(lost.code, Some(3), "{lost:?}");
    assert!(
        lost.out.contains("the store holds no configuration"),
        "{lost:?}"
    );
    let again = ["apply", "--onto", "0", "--json", "--store", &url];
    let again = run_in(&folder, &again).await;
    assert_eq!(again.code, Some(0), "{again:?}");
    assert_eq!(again.json()["version"], 2);
}

#[tokio::test]
async fn defaults_come_from_the_folder() {
    let desk = Desk::open().await;
    desk.write_services("a", "services.jsonc", &["lookup"]);
    let defaults = format!("{{ \"store\": \"{}\" }}", desk.store.url());
    desk.write("a", ".arbutusctl.jsonc", &defaults);
    let run = run_in(&desk.path("a"), &["apply"]).await;
    assert_eq!(run.code, Some(0), "{run:?}");
}

struct WrongLine {
    args: &'static [&'static str],
    code: i32,
    says: &'static str,
}

#[rstest]
#[case::no_command(WrongLine { args: &[], code: 2, says: "no command is given" })]
#[case::an_unknown_command(WrongLine { args: &["aply"], code: 2, says: "`aply` is not known" })]
#[case::an_option_of_another_command(WrongLine {
    args: &["check", "--onto", "1"], code: 2, says: "`--onto` is not known",
})]
#[case::no_store(WrongLine { args: &["apply"], code: 2, says: "--store is missing" })]
#[case::findings(WrongLine {
    args: &["check"],
    code: 1,
    says: "broken.jsonc:1:27: the key `address` is missing",
})]
#[case::findings_before_the_store(WrongLine {
    args: &["apply", "--store", "http://127.0.0.1:1"],
    code: 1,
    says: "broken.jsonc:1:29: unknown key `adres`; did you mean `address`?",
})]
#[tokio::test]
async fn what_is_wrong_is_told_on_standard_error(#[case] line: WrongLine) {
    let desk = Desk::open().await;
    let text = "{ \"services\": { \"lookup\": { \"adres\": \"192.0.2.1:443\" } } }";
    desk.write("a", "broken.jsonc", text);
    let run = run_in(&desk.path("a"), line.args).await;
    assert_eq!(run.code, Some(line.code), "{run:?}");
    assert!(run.err.contains(line.says), "{run:?}");
}
