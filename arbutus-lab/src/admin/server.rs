use std::{panic::AssertUnwindSafe, sync::Arc};

use futures_util::{FutureExt, future};
use gotham::{
    handler::HandlerFuture,
    helpers::http::{Body, response::create_response},
    mime,
    state::{FromState, State},
};
use http::{Method, StatusCode, Uri};
use http_body_util::BodyExt;
use tokio::net::TcpListener;

use super::{Endpoint, Reply};

type SharedEndpoint = AssertUnwindSafe<Arc<dyn Endpoint>>;

/// Serves `endpoint` on `listener` until the future is dropped.
pub async fn serve(listener: TcpListener, endpoint: Arc<dyn Endpoint>) {
    let shared: SharedEndpoint = AssertUnwindSafe(endpoint);
    gotham::bind_server(listener, handler_factory(shared), future::ok).await;
}

fn handler_factory(shared: SharedEndpoint) -> impl gotham::handler::NewHandler + 'static {
    move || {
        let endpoint = Arc::clone(&shared);
        Ok(move |state: State| handle_request(state, endpoint))
    }
}

fn handle_request(
    mut state: State,
    endpoint: Arc<dyn Endpoint>,
) -> std::pin::Pin<Box<HandlerFuture>> {
    async move {
        let method = Method::borrow_from(&state).clone();
        let path = Uri::borrow_from(&state).path().to_owned();
        let body = Body::take_from(&mut state).collect().await;
        let reply = match body {
            Ok(body) => endpoint.handle(&method, &path, &body.to_bytes()),
            Err(_) => Reply::error(
                StatusCode::BAD_REQUEST,
                "the request body could not be read in full",
            ),
        };
        let response = create_response(&state, reply.status, mime::APPLICATION_JSON, reply.body);
        Ok((state, response))
    }
    .boxed()
}
