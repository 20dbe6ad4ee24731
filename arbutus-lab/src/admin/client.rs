use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

use crate::error::LabError;

/// Limit on one request to an admin port, from connecting to the end of the body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a GET request for `path` to an admin port and returns the response body.
///
/// # Errors
///
/// Fails if the port does not answer with a success status within 5 seconds.
pub async fn get(address: SocketAddr, path: &str) -> Result<String, Report<LabError>> {
    send(address, Method::GET, path, Bytes::new()).await
}

/// Sends `value` as JSON in a POST request to `path` of an admin port.
///
/// # Errors
///
/// Fails if the port does not answer with a success status within 5 seconds.
pub async fn post(
    address: SocketAddr,
    path: &str,
    value: &impl serde::Serialize,
) -> Result<String, Report<LabError>> {
    let body = serde_json::to_vec(value).change_context(LabError::Admin)?;
    send(address, Method::POST, path, Bytes::from(body)).await
}

/// Sends `value` as JSON in a PUT request to `path` of an admin port.
///
/// # Errors
///
/// Fails if the port does not answer with a success status within 5 seconds.
pub async fn put(
    address: SocketAddr,
    path: &str,
    value: &impl serde::Serialize,
) -> Result<String, Report<LabError>> {
    let body = serde_json::to_vec(value).change_context(LabError::Admin)?;
    send(address, Method::PUT, path, Bytes::from(body)).await
}

async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<String, Report<LabError>> {
    time::timeout(REQUEST_TIMEOUT, exchange(address, method, path, body))
        .await
        .change_context(LabError::Admin)
        .attach_with(|| format!("{address}{path}: no answer within the time limit"))?
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<String, Report<LabError>> {
    let stream = TcpStream::connect(address)
        .await
        .change_context(LabError::Admin)
        .attach_with(|| format!("{address}{path}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .change_context(LabError::Admin)?;
    let driver = tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(body))
        .change_context(LabError::Admin)?;
    let response = sender
        .send_request(req)
        .await
        .change_context(LabError::Admin)?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .change_context(LabError::Admin)?
        .to_bytes();
    driver.abort();
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(Report::new(LabError::Admin).attach(format!("{address}{path}: {status} {text}")))
    }
}
