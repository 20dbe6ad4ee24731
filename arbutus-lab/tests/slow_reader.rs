//! A caller that stops reading its answer must not hold a slot of the agent past its deadline.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
    time::Duration,
};

use arbutus_lab::{
    admin, caller, content,
    deployment::{Binaries, Deployment, DeploymentOptions},
};
use http::Request;

const SERVICE: &str = "lookup";
/// Deadline of the request, in milliseconds.
const DEADLINE_MS: &str = "1000";
/// Receive window of the stream, smaller than the answer that the test requests.
const WINDOW_BYTES: u32 = 512;
/// Interval at which the agent's metrics are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of polls until the slot must be free.
const MAX_POLLS: u32 = 100;

/// Returns the ID of a request whose answer is far larger than the window.
fn long_request_id() -> String {
    let ids = (0..).map(|number| format!("slow-{number}"));
    let mut long = ids.filter(|id| content::body(SERVICE, id).len() > 4 * 1_024);
    long.next().expect("a request with a long answer")
}

/// Returns the value of a metric without labels.
async fn metric(agent: SocketAddr, name: &str) -> Option<f64> {
    let text = admin::get(agent, "/metrics").await.ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[tokio::test]
async fn the_slot_of_an_unread_answer_is_freed_at_the_deadline() {
    let lab = Path::new(env!("CARGO_BIN_EXE_arbutus-lab"));
    let binaries = Binaries::find(lab).expect("the daemons");
    let mut options = DeploymentOptions::new(SERVICE);
    options.balancers = 1;
    for service in &mut options.services {
        service.agents = 1;
    }
    let deployment = Deployment::start(binaries, options).await.expect("a start");
    let agent = deployment.live_nodes().admin_addresses()["agent-1"].into();

    let mut cfg = caller::client_config(&deployment.ca_file()).expect("an authority");
    let mut transport = quinn::TransportConfig::default();
    transport.stream_receive_window(WINDOW_BYTES.into());
    transport.keep_alive_interval(Some(Duration::from_secs(1)));
    cfg.transport_config(Arc::new(transport));
    let endpoint = quinn::Endpoint::client((Ipv4Addr::LOCALHOST, 0).into()).expect("a socket");
    let target = deployment.layout().service_address(0).into();
    let name = format!("{SERVICE}.arbutus.internal");
    let connecting = endpoint.connect_with(cfg, target, &name);
    let connection = connecting.expect("valid settings").await.expect("a flow");
    let quic = h3_quinn::Connection::new(connection);
    let (_driver, mut requests) = h3::client::new(quic).await.expect("HTTP/3");

    let req = Request::get(format!("https://{name}/"))
        .header("x-request-id", long_request_id())
        .header("x-lab-service", SERVICE)
        .header("arbutus-deadline-ms", DEADLINE_MS)
        .body(())
        .expect("a request");
    let mut stream = requests.send_request(req).await.expect("a sent request");
    stream.finish().await.expect("a finished request");
    let head = stream.recv_response().await.expect("a response head");
    assert_eq!(head.status(), 200);
    assert_eq!(metric(agent, "arbutus_requests_in_hand").await, Some(1.0));

    // From here on, the body is not read and the stream stays open.
    for _ in 0..MAX_POLLS {
        tokio::time::sleep(POLL_INTERVAL).await;
        if metric(agent, "arbutus_requests_in_hand").await == Some(0.0) {
            return;
        }
    }
    panic!("the slot was not freed after the deadline");
}
