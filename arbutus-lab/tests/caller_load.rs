//! The caller stand-in against a small HTTP/3 server with scripted answers.
//!
//! The caller must record the outcome of each request and the end of each attempt and flow as the
//! answers show them.

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

/// The behaviour of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Script {
    /// Sends the expected body.
    Right,
    /// Sends the body of another request.
    Foreign,
    /// Sends half of the expected body.
    Truncated,
    /// Reports that the request did not run.
    NotRun,
    /// Reports that it is not known whether the request ran.
    Unknown,
    /// Rejects a POST request without a binding and offers one.
    BindFirst,
    /// Sends a GOAWAY with each request that it accepts.
    GoAwayAfterEach,
    /// Closes the connection while the request is in progress.
    CloseInProgress,
}

struct Server {
    address: SocketAddrV4,
    ca: tempfile::NamedTempFile,
}

fn server(script: Script) -> Server {
    let names = vec![String::from("lookup.arbutus.internal")];
    let certified_key = rcgen::generate_simple_self_signed(names).expect("a certificate");
    let ca = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(ca.path(), certified_key.cert.pem()).expect("written");
    let key = PrivatePkcs8KeyDer::from(certified_key.signing_key.serialize_der());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("a version")
        .with_no_client_auth()
        .with_single_cert(vec![certified_key.cert.der().clone()], key.into())
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
    // `None` means that no request is in progress; the loop goes on to reject further requests.
    while let Ok(accepted) = h3.accept().await {
        let Some(resolver) = accepted else {
            continue;
        };
        if script == Script::GoAwayAfterEach {
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
    let is_post = req.method() == http::Method::POST;
    let is_unbound = is_post && header("arbutus-binding").is_none();
    let (status, outcome) = match script {
        Script::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "not-run"),
        Script::Unknown => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
        Script::BindFirst if is_unbound => (StatusCode::PRECONDITION_REQUIRED, "not-run"),
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
    // The caller may have closed the flow, so errors are ignored.
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
    /// The expected outcome of every request.
    outcome: RequestOutcome,
    /// The expected end of every attempt that was sent and not rejected for lack of a binding.
    end: AttemptEnd,
    /// Whether the server rejects an attempt because it has no binding.
    needs_binding: bool,
}

#[rstest]
#[case::an_expected_answer_is_recognised(Case {
    script: Script::Right,
    outcome: RequestOutcome::Ran,
    end: AttemptEnd::Right,
    needs_binding: false,
})]
#[case::an_answer_to_another_request_is_recognised(Case {
    script: Script::Foreign,
    outcome: RequestOutcome::Ran,
    end: AttemptEnd::Wrong,
    needs_binding: false,
})]
#[case::a_truncated_answer_is_recognised(Case {
    script: Script::Truncated,
    outcome: RequestOutcome::Ran,
    end: AttemptEnd::Wrong,
    needs_binding: false,
})]
#[case::not_run_is_final_if_the_retry_would_follow_after_the_deadline(Case {
    script: Script::NotRun,
    outcome: RequestOutcome::NotRun,
    end: AttemptEnd::Refused,
    needs_binding: false,
})]
#[case::unknown_is_final(Case {
    script: Script::Unknown,
    outcome: RequestOutcome::Unknown,
    end: AttemptEnd::Refused,
    needs_binding: false,
})]
#[case::an_offered_binding_is_used(Case {
    script: Script::BindFirst,
    outcome: RequestOutcome::Ran,
    end: AttemptEnd::Right,
    needs_binding: true,
})]
#[case::a_goaway_breaks_no_request(Case {
    script: Script::GoAwayAfterEach,
    outcome: RequestOutcome::Ran,
    end: AttemptEnd::Right,
    needs_binding: false,
})]
#[tokio::test]
async fn the_journal_shows_how_the_server_answered(#[case] case: Case) {
    let journal = load(case.script).await;
    assert!(!journal.requests.is_empty());
    for request in &journal.requests {
        assert_eq!(request.outcome, case.outcome, "{}", request.id);
    }
    let mut rejected_unbound = 0;
    for attempt in &journal.attempts {
        let needs_binding = attempt.status == Some(428);
        rejected_unbound += usize::from(needs_binding);
        let is_skipped = attempt.end == AttemptEnd::NotSent || needs_binding;
        assert!(is_skipped || attempt.end == case.end, "{attempt:?}");
    }
    assert_eq!(rejected_unbound > 0, case.needs_binding);
    for flow in &journal.flows {
        assert_eq!(flow.end, FlowEnd::Graceful, "{flow:?}");
    }
}

#[tokio::test]
async fn a_flow_closed_with_requests_in_progress_is_broken() {
    let journal = load(Script::CloseInProgress).await;
    assert!(journal.flows.iter().any(|flow| flow.end == FlowEnd::Broken));
    assert!(
        journal
            .requests
            .iter()
            .all(|it| it.outcome == RequestOutcome::Unknown)
    );
}
