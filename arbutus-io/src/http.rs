//! Small HTTP servers, in which one function answers every call.

mod call;
mod metrics_page;
mod reply;
mod server;

pub use call::Call;
pub use metrics_page::MetricsPage;
pub use reply::Reply;
pub use server::serve;
