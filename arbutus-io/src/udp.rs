//! UDP sockets worked in batches.

mod batch_receiver;
mod batch_sender;
mod bind;
mod port;
mod writable_poller;

pub use batch_receiver::BatchReceiver;
pub use batch_sender::BatchSender;
pub use bind::{bind, bind_shared};
pub use port::Port;
pub use writable_poller::WritablePoller;
