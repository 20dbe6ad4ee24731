//! UDP sockets that send and receive datagrams in batches.

mod batch_receiver;
mod batch_sender;
mod batch_socket;
mod bind;
mod writable_poller;

pub use batch_receiver::BatchReceiver;
pub use batch_sender::BatchSender;
pub use batch_socket::BatchSocket;
pub use bind::{bind, bind_shared};
pub use writable_poller::WritablePoller;
