use std::{panic::AssertUnwindSafe, sync::Arc};

use futures_util::{FutureExt, future};
use gotham::{
    handler::{HandlerFuture, NewHandler},
    helpers::http::{Body, response::create_response},
    mime,
    state::{FromState, State},
};
use http::{HeaderValue, Method, StatusCode, Uri};
use http_body_util::BodyExt;
use tokio::net::{TcpListener, TcpStream};

use super::{reply::Reply, store_state::StoreState};

/// Serves the store on `listener` until the future is dropped.
pub(super) async fn serve(listener: TcpListener, shared: Arc<StoreState>) {
    let accept_state = shared.clone();
    let accept = move |stream: TcpStream| {
        let accepts = !accept_state.refuses();
        future::ready(accepts.then_some(stream).ok_or(()))
    };
    gotham::bind_server(listener, handler_factory(AssertUnwindSafe(shared)), accept).await;
}

fn handler_factory(shared: AssertUnwindSafe<Arc<StoreState>>) -> impl NewHandler + 'static {
    move || {
        let shared = Arc::clone(&shared);
        Ok(move |state: State| handle(state, shared))
    }
}

fn handle(mut state: State, shared: Arc<StoreState>) -> std::pin::Pin<Box<HandlerFuture>> {
    async move {
        let method = Method::borrow_from(&state).clone();
        let uri = Uri::borrow_from(&state).clone();
        let query = uri.query().unwrap_or_default().to_owned();
        let path = uri.path().to_owned();
        let reply = match Body::take_from(&mut state).collect().await {
            Ok(body) => shared.answer(method, path, query, body.to_bytes()).await,
            Err(_) => Some(Reply::new(
                StatusCode::BAD_REQUEST,
                "the request body could not be read in full",
            )),
        };
        let reply = reply
            .unwrap_or_else(|| Reply::new(StatusCode::INTERNAL_SERVER_ERROR, "No cluster leader"));
        let mut response =
            create_response(&state, reply.status, mime::APPLICATION_JSON, reply.body);
        if let Some(index) = reply.index {
            let headers = response.headers_mut();
            headers.insert("x-consul-index", HeaderValue::from(index));
        }
        Ok((state, response))
    }
    .boxed()
}
