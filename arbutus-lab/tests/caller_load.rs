//! The caller stand-in against a small HTTP/3 server with scripted answers.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use arbutus_lab::{
    caller::{self, AttemptEnd, CallerJournal, CallerOptions, FlowEnd, RequestOutcome},
    content,
};
use bytes::Bytes;
use h3::server::RequestResolver;
use http::{Response, StatusCode};
use quinn::crypto::rustls::QuicServerConfig;
use rstest::rstest;
use rustls::pki_types::PrivatePkcs8KeyDer;

/// How the server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Script {
    Right,
    Foreign,
    Truncated,
    NotRun,
    Unknown,
    BindFirst,
    LeaveAfterEach,
    CloseInProgress,
}

struct Server {
    address: SocketAddrV4,
    ca: tempfile::NamedTempFile,
}

fn server(script: Script) -> Server {
    let names = vec![String::from("lookup.arbutus.internal")];
    let made = rcgen::generate_simple_self_signed(names).expect("a certificate");
    let ca = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(ca.path(), made.cert.pem()).expect("written");
    let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("a version")
        .with_no_client_auth()
        .with_single_cert(vec![made.cert.der().clone()], key.into())
        .expect("a key");
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicServerConfig::try_from(tls).expect("a configuration");
    let config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let endpoint = quinn::Endpoint::server(config, any).expect("a socket");
    let SocketAddr::V4(address) = endpoint.local_addr().expect("bound") else {
        unreachable!("bound to IPv4");
    };
    tokio::spawn(async move {
        while let Some(incoming) = endpoint.accept().await {
            tokio::spawn(serve(incoming, script));
        }
    });
    Server { address, ca }
}

async fn serve(incoming: quinn::Incoming, script: Script) {
    let connection = incoming.await.expect("a connection");
    let quic = connection.clone();
    let mut h3: h3::server::Connection<_, Bytes> =
        h3::server::Connection::new(h3_quinn::Connection::new(connection))
            .await
            .expect("HTTP/3");
    // `None` means that nothing is in progress; the requests still to come must be rejected.
    while let Ok(accepted) = h3.accept().await {
        let Some(resolver) = accepted else {
            continue;
        };
        if script == Script::LeaveAfterEach {
            h3.shutdown(0).await.expect("a GOAWAY");
        }
        tokio::spawn(answer(resolver, script, quic.clone()));
    }
}

async fn answer(
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
    script: Script,
    quic: quinn::Connection,
) {
    let Ok((req, mut stream)) = resolver.resolve_request().await else {
        return;
    };
    let header = |name| req.headers().get(name).map(|it| it.to_str().expect("text"));
    let id = header("idempotency-key").or(header("x-request-id"));
    let mut body = content::body("lookup", id.expect("an id"));
    let post = req.method() == http::Method::POST;
    let unbound = post && header("arbutus-binding").is_none();
    let (status, outcome) = match script {
        Script::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "not-run"),
        Script::Unknown => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
        Script::BindFirst if unbound => (StatusCode::PRECONDITION_REQUIRED, "not-run"),
        _ => (StatusCode::OK, "ran"),
    };
    match script {
        Script::Foreign => body = content::body("lookup", "another"),
        Script::Truncated => body.truncate(body.len() / 2),
        Script::CloseInProgress => {
            quic.close(0x100_u32.into(), b"");
            return;
        }
        _ => {}
    }
    let mut response = Response::builder();
    if status == StatusCode::PRECONDITION_REQUIRED {
        response = response.header("arbutus-binding", "token");
    }
    let response = response
        .status(status)
        .header("arbutus-outcome", outcome)
        .header("x-backend-server", "backend-1")
        .header("retry-after", "30")
        .body(())
        .expect("a head");
    // The caller may be gone.
    let _ = stream.send_response(response).await;
    let _ = stream.send_data(Bytes::from(body)).await;
    let _ = stream.finish().await;
}

async fn load(script: Script) -> CallerJournal {
    let server = server(script);
    let ca = PathBuf::from(server.ca.path());
    let mut options = CallerOptions::new(server.address, "lookup", ca);
    options.callers = 2;
    options.rate = 40;
    options.duration = Duration::from_secs(1);
    options.deadline = Duration::from_secs(20);
    caller::run(options).await.expect("a load")
}

struct Case {
    script: Script,
    /// The outcome of every request.
    outcome: RequestOutcome,
    /// The end of every attempt that was answered as the script says.
    end: AttemptEnd,
    /// Whether an attempt is told to come again with a binding.
    binds: bool,
}

#[rstest]
#[case::right_answers_are_recognised(Case {
    script: Script::Right, outcome: RequestOutcome::Ran, end: AttemptEnd::Right, binds: false,
})]
#[case::foreign_answers_are_recognised(Case {
    script: Script::Foreign, outcome: RequestOutcome::Ran, end: AttemptEnd::Wrong, binds: false,
})]
#[case::truncated_answers_are_recognised(Case {
    script: Script::Truncated, outcome: RequestOutcome::Ran, end: AttemptEnd::Wrong, binds: false,
})]
#[case::not_run_is_final_when_the_pause_passes_the_deadline(Case {
    script: Script::NotRun, outcome: RequestOutcome::NotRun, end: AttemptEnd::Refused, binds: false,
})]
#[case::unknown_is_final(Case {
    script: Script::Unknown, outcome: RequestOutcome::Unknown, end: AttemptEnd::Refused, binds: false,
})]
#[case::a_binding_is_taken_and_used(Case {
    script: Script::BindFirst, outcome: RequestOutcome::Ran, end: AttemptEnd::Right, binds: true,
})]
#[case::a_leaving_server_breaks_nothing(Case {
    script: Script::LeaveAfterEach, outcome: RequestOutcome::Ran, end: AttemptEnd::Right, binds: false,
})]
#[tokio::test]
async fn answers_are_judged_by_the_caller(#[case] case: Case) {
    let journal = load(case.script).await;
    assert!(!journal.requests.is_empty());
    for request in &journal.requests {
        assert_eq!(request.outcome, case.outcome, "{}", request.id);
    }
    let mut bound = 0;
    for attempt in &journal.attempts {
        let asked_to_bind = attempt.status == Some(428);
        bound += usize::from(asked_to_bind);
        let passed_over = attempt.end == AttemptEnd::NotSent || asked_to_bind;
        assert!(passed_over || attempt.end == case.end, "{attempt:?}");
    }
    assert_eq!(bound > 0, case.binds);
    for flow in &journal.flows {
        assert_eq!(flow.end, FlowEnd::Graceful, "{flow:?}");
    }
}

#[tokio::test]
async fn a_close_with_requests_in_progress_is_a_broken_flow() {
    let journal = load(Script::CloseInProgress).await;
    assert!(journal.flows.iter().any(|flow| flow.end == FlowEnd::Broken));
    assert!(
        journal
            .requests
            .iter()
            .all(|it| it.outcome == RequestOutcome::Unknown)
    );
}
