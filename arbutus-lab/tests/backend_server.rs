//! Behaviours of the backend server stand-in, as its answers and its journal show them.

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

async fn set_behaviour(backend: &BackendAddresses, behaviour: Behaviour) {
    let command = BehaviourCommand {
        behaviour,
        for_ms: None,
    };
    let response = admin::post(backend.admin.into(), "/lab/behaviour", &command).await;
    response.expect("an accepted command");
}

async fn journal(backend: &BackendAddresses) -> Vec<RunRecord> {
    let text = admin::get(backend.admin.into(), "/lab/journal").await;
    serde_json::from_str(&text.expect("a journal")).expect("JSON")
}

async fn send_request(backend: &BackendAddresses, id: &str) -> TcpStream {
    let address = SocketAddr::V4(backend.listen);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "GET /work HTTP/1.1\r\nhost: x\r\nx-request-id: {id}\r\narbutus-deadline-ms: 1\r\n\
         x-lab-service: lookup\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

async fn fetch(backend: &BackendAddresses, id: &str) -> String {
    let mut stream = send_request(backend, id).await;
    let mut answer = Vec::new();
    // A truncated answer may end with a reset.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).expect("text")
}

struct Case {
    behaviour: Behaviour,
    status: &'static str,
    is_complete: bool,
    outcome: RunOutcome,
}

#[rstest]
#[case::a_normal_backend_server_sends_the_expected_body(Case {
    behaviour: Behaviour::Normal, status: "200", is_complete: true, outcome: RunOutcome::Ran,
})]
#[case::a_shedding_backend_server_rejects_requests_without_running_them(Case {
    behaviour: Behaviour::Shed, status: "503", is_complete: false, outcome: RunOutcome::Shed,
})]
#[case::a_draining_backend_server_rejects_requests_without_running_them(Case {
    behaviour: Behaviour::Draining, status: "503", is_complete: false, outcome: RunOutcome::Shed,
})]
#[case::a_short_answer_ends_early(Case {
    behaviour: Behaviour::Short, status: "200", is_complete: false, outcome: RunOutcome::Ran,
})]
#[case::a_late_answer_is_complete(Case {
    behaviour: Behaviour::Late, status: "200", is_complete: true, outcome: RunOutcome::Ran,
})]
#[case::a_lying_backend_server_sends_the_expected_body(Case {
    behaviour: Behaviour::Lying, status: "200", is_complete: true, outcome: RunOutcome::Ran,
})]
#[tokio::test]
async fn a_behaviour_shows_in_the_answer_and_in_the_journal(#[case] case: Case) {
    let backend = start(5, Duration::from_millis(1)).await;
    set_behaviour(&backend, case.behaviour).await;
    let answer = fetch(&backend, "r1").await;
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with(&format!("HTTP/1.1 {}", case.status)));
    assert_eq!(body == content::body("lookup", "r1"), case.is_complete);
    let is_rejected = head.contains("arbutus-outcome: not-run");
    assert_eq!(is_rejected, case.outcome == RunOutcome::Shed);
    let journal = journal(&backend).await;
    assert_eq!(journal.len(), 1);
    assert_eq!(journal[0].outcome, case.outcome);
    assert_eq!(
        journal[0].started_us.is_some(),
        case.outcome == RunOutcome::Ran
    );
}

#[tokio::test]
async fn a_request_never_runs_if_its_connection_closes_before_it_gets_a_slot() {
    let backend = start(1, Duration::from_secs(3_600)).await;
    let running = send_request(&backend, "r1").await;
    while journal(&backend).await.is_empty() {
        tokio::task::yield_now().await;
    }
    let waiting = send_request(&backend, "r2").await;
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
async fn a_crossed_answer_follows_the_expected_one() {
    let backend = start(5, Duration::from_millis(1)).await;
    set_behaviour(&backend, Behaviour::Crossed).await;
    let answer = fetch(&backend, "r1").await;
    let expected = content::body("lookup", "r1");
    let foreign = content::body("lookup", "nobody");
    let (head, rest) = answer.split_once(&expected).expect("the expected body");
    assert!(head.starts_with("HTTP/1.1 200"));
    assert!(rest.starts_with("HTTP/1.1 200") && rest.ends_with(&foreign));
}
