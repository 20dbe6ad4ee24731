use std::net::SocketAddr;

use futures_util::future;
use gotham::{
    helpers::http::{Body, response},
    mime::{self, Mime},
    state::{FromState, State},
};
use http::{Method, Response, StatusCode, Uri};
use serde::Serialize;
use tokio::net::TcpListener;

use super::AdminState;

/// The content type of `OpenMetrics` text.
const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Binds the admin port and serves it in the background until the process ends.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub async fn serve(address: SocketAddr, admin: AdminState) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let new_handler = move || {
        let admin = admin.clone();
        Ok(move |state: State| {
            let res = respond(&admin, &state);
            (state, res)
        })
    };
    tokio::spawn(async move {
        gotham::bind_server(listener, new_handler, future::ok).await;
    });
    Ok(())
}

/// Returns the response to a request.
fn respond(admin: &AdminState, state: &State) -> Response<Body> {
    if Method::borrow_from(state) != Method::GET {
        return response::create_empty_response(state, StatusCode::METHOD_NOT_ALLOWED);
    }
    match Uri::borrow_from(state).path() {
        "/health" => ok(state, mime::TEXT_PLAIN_UTF_8, "ok\n".to_owned()),
        "/metrics" => {
            let content_type = OPENMETRICS_CONTENT_TYPE
                .parse()
                .unwrap_or(mime::TEXT_PLAIN_UTF_8);
            ok(state, content_type, admin.metrics())
        }
        "/config" => json(state, &admin.config()),
        "/roster" => json(state, &admin.roster()),
        _ => response::create_empty_response(state, StatusCode::NOT_FOUND),
    }
}

fn json(state: &State, view: &impl Serialize) -> Response<Body> {
    match serde_json::to_string(view) {
        Ok(text) => ok(state, mime::APPLICATION_JSON, text),
        Err(err) => {
            tracing::warn!(%err, "admin_encoding_failed");
            response::create_empty_response(state, StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn ok(state: &State, content_type: Mime, text: String) -> Response<Body> {
    response::create_response(state, StatusCode::OK, content_type, text)
}
