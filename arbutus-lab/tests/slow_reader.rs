//! A caller that stops reading its answer.

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
const DEADLINE_MS: &str = "1000";
/// Less than any answer that the test asks for.
const WINDOW_BYTES: u32 = 512;
/// How often the agent is asked, and how many times at most.
const POLL: Duration = Duration::from_millis(200);
const POLLS: u32 = 100;

/// A request whose answer is far longer than the window.
fn long_request() -> String {
    let ids = (0..).map(|number| format!("slow-{number}"));
    let mut long = ids.filter(|id| content::body(SERVICE, id).len() > 4 * 1_024);
    long.next().expect("some answer is long")
}

/// The value of a metric without labels.
async fn metric(agent: SocketAddr, name: &str) -> Option<f64> {
    let text = admin::get(agent, "/metrics").await.ok()?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[tokio::test]
async fn an_answer_that_is_not_read_frees_its_slot_at_the_deadline() {
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
        .header("x-request-id", long_request())
        .header("x-lab-service", SERVICE)
        .header("arbutus-deadline-ms", DEADLINE_MS)
        .body(())
        .expect("a request");
    let mut stream = requests.send_request(req).await.expect("it is sent");
    stream.finish().await.expect("it is whole");
    let head = stream.recv_response().await.expect("an answer begins");
    assert_eq!(head.status(), 200);
    assert_eq!(metric(agent, "arbutus_requests_in_hand").await, Some(1.0));

    // Nothing of the body is read from here on, and the stream stays open.
    for _ in 0..POLLS {
        tokio::time::sleep(POLL).await;
        if metric(agent, "arbutus_requests_in_hand").await == Some(0.0) {
            return;
        }
    }
    panic!("the slot is still held");
}
