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

/// Longest body that is read, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// Answers calls at `address` by `answer` until the process ends.
///
/// # Errors
///
/// Fails where `address` cannot be bound.
pub async fn serve<F>(address: SocketAddr, answer: F) -> std::io::Result<()>
where
    F: Fn(Call) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await?;
    // A panic ends one call; what the function looks at is locked for whole changes only.
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
    let body = Limited::new(Body::take_from(&mut state), MAX_BODY);
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
    let res = response::create_response(&state, reply.status, reply.kind, reply.body);
    Ok((state, res))
}
