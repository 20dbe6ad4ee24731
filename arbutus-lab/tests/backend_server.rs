//! The backend server stand-in and its misbehaviour.

use std::{net::SocketAddr, time::Duration};

use arbutus_lab::{
    admin,
    backend::{
        Backend, BackendAddresses, BackendOptions, Behaviour, BehaviourCommand, RunOutcome,
        RunRecord, ServiceTime,
    },
    content,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

async fn start(slots: usize, service_time: Duration) -> BackendAddresses {
    let mut options = BackendOptions::new("backend-1", "lookup");
    options.slots = slots;
    options.service_time = ServiceTime::Fixed(service_time);
    Backend::start(&options).await.expect("a backend server")
}

async fn behave(backend: &BackendAddresses, behaviour: Behaviour) {
    let command = BehaviourCommand {
        behaviour,
        for_ms: None,
    };
    let told = admin::post(backend.admin.into(), "/lab/behaviour", &command).await;
    told.expect("an obedient backend server");
}

async fn journal(backend: &BackendAddresses) -> Vec<RunRecord> {
    let text = admin::get(backend.admin.into(), "/lab/journal").await;
    serde_json::from_str(&text.expect("a journal")).expect("JSON")
}

async fn open(backend: &BackendAddresses, id: &str) -> TcpStream {
    let address = SocketAddr::V4(backend.listen);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "GET /work HTTP/1.1\r\nhost: x\r\nx-request-id: {id}\r\narbutus-deadline-ms: 1\r\n\
         x-lab-service: lookup\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

async fn ask(backend: &BackendAddresses, id: &str) -> String {
    let mut stream = open(backend, id).await;
    let mut answer = Vec::new();
    // A short answer may end by a reset.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).expect("text")
}

struct Case {
    behaviour: Behaviour,
    status: &'static str,
    whole: bool,
    fate: RunOutcome,
}

#[rstest]
#[case::normally_the_right_body_comes(Case {
    behaviour: Behaviour::Normal, status: "200", whole: true, fate: RunOutcome::Ran,
})]
#[case::shedding_refuses_without_a_run(Case {
    behaviour: Behaviour::Shed, status: "503", whole: false, fate: RunOutcome::Shed,
})]
#[case::draining_refuses_without_a_run(Case {
    behaviour: Behaviour::Draining, status: "503", whole: false, fate: RunOutcome::Shed,
})]
#[case::a_short_answer_ends_early(Case {
    behaviour: Behaviour::Short, status: "200", whole: false, fate: RunOutcome::Ran,
})]
#[case::a_late_answer_is_whole(Case {
    behaviour: Behaviour::Late, status: "200", whole: true, fate: RunOutcome::Ran,
})]
#[case::a_lying_backend_server_answers(Case {
    behaviour: Behaviour::Lying, status: "200", whole: true, fate: RunOutcome::Ran,
})]
#[tokio::test]
async fn behaviours_show_in_answer_and_journal(#[case] case: Case) {
    let backend = start(5, Duration::from_millis(1)).await;
    behave(&backend, case.behaviour).await;
    let answer = ask(&backend, "r1").await;
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with(&format!("HTTP/1.1 {}", case.status)));
    assert_eq!(body == content::body("lookup", "r1"), case.whole);
    let refused = head.contains("arbutus-outcome: not-run");
    assert_eq!(refused, case.fate == RunOutcome::Shed);
    let journal = journal(&backend).await;
    assert_eq!(journal.len(), 1);
    assert_eq!(journal[0].outcome, case.fate);
    assert_eq!(
        journal[0].started_us.is_some(),
        case.fate == RunOutcome::Ran
    );
}

#[tokio::test]
async fn a_request_whose_connection_closes_before_it_has_a_slot_never_runs() {
    let backend = start(1, Duration::from_secs(3_600)).await;
    let running = open(&backend, "r1").await;
    while journal(&backend).await.is_empty() {
        tokio::task::yield_now().await;
    }
    let waiting = open(&backend, "r2").await;
    while journal(&backend).await.len() < 2 {
        tokio::task::yield_now().await;
    }
    drop(waiting);
    while journal(&backend).await[1].outcome == RunOutcome::InProgress {
        tokio::task::yield_now().await;
    }
    let journal = journal(&backend).await;
    assert_eq!(journal[1].outcome, RunOutcome::Cancelled);
    assert_eq!(journal[1].started_us, None);
    assert!(journal[0].started_us.is_some());
    drop(running);
}

#[tokio::test]
async fn a_crossed_answer_follows_the_right_one_unasked() {
    let backend = start(5, Duration::from_millis(1)).await;
    behave(&backend, Behaviour::Crossed).await;
    let answer = ask(&backend, "r1").await;
    let right = content::body("lookup", "r1");
    let foreign = content::body("lookup", "nobody");
    let (head, rest) = answer.split_once(&right).expect("the right body");
    assert!(head.starts_with("HTTP/1.1 200"));
    assert!(rest.starts_with("HTTP/1.1 200") && rest.ends_with(&foreign));
}
