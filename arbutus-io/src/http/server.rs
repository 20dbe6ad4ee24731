use std::{net::SocketAddr, panic::AssertUnwindSafe, pin::Pin, sync::Arc};

use futures_util::future;
use gotham::{
    handler::HandlerFuture,
    helpers::http::{Body, response},
    state::{FromState, State},
};
use http::{Method, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use tokio::net::TcpListener;

use super::{Call, Reply};

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Binds `address` and answers calls with `answer` in the background until the process ends.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub async fn serve<F>(address: SocketAddr, answer: F) -> std::io::Result<()>
where
    F: Fn(Call) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await?;
    // A panic ends only the call in which it occurs. The function's state is locked for complete
    // changes only, so later calls see no partial change.
    let answer = Arc::new(AssertUnwindSafe(answer));
    let new_handler = move || {
        let answer = answer.clone();
        Ok(move |state: State| -> Pin<Box<HandlerFuture>> {
            Box::pin(handle(answer.clone(), state))
        })
    };
    tokio::spawn(async move {
        gotham::bind_server(listener, new_handler, future::ok).await;
    });
    Ok(())
}

async fn handle<F: Fn(Call) -> Reply>(
    answer: Arc<AssertUnwindSafe<F>>,
    mut state: State,
) -> gotham::handler::HandlerResult {
    let body = Limited::new(Body::take_from(&mut state), MAX_BODY_BYTES);
    let reply = match body.collect().await {
        Ok(body) => answer(Call {
            method: Method::borrow_from(&state).clone(),
            path: Uri::borrow_from(&state).path().to_owned(),
            body: body.to_bytes(),
        }),
        Err(err) => {
            tracing::info!(%err, "call_body_unreadable");
            Reply::empty(StatusCode::BAD_REQUEST)
        }
    };
    let res = response::create_response(&state, reply.status, reply.content_type, reply.body);
    Ok((state, res))
}
