//! Bindings: short-lived tokens that tie non-repeatable requests to one agent.
//!
//! A caller sends a non-repeatable request with an idempotency key and a binding. The binding
//! names one incarnation of one agent, and only that incarnation may ever run the key.
//!
//! # At most once
//!
//! Let `K` be a key that its caller sends under binding `B`, which incarnation `A` issued.
//!
//! 1. *One authority.* Only `A` accepts `B`: the token carries the agent's address, its full
//!    incarnation and a random number drawn at the start of the process, under a MAC. Any other
//!    agent hands the request to `A` or answers `unknown`. A process that later lives at the same
//!    address differs in the random number, whatever its clock said at its start.
//! 2. *One run at `A`.* `A` records `K` before the first byte goes to the backend server and
//!    refuses to run a recorded key. `A` runs nothing that it cannot record: when the memory is
//!    full, the request is refused.
//! 3. *Memory outlives acceptance.* `A` accepts `B` while its own clock is before the expiry, and
//!    keeps a key for the longest life of any binding it issued, plus a margin, after the key's
//!    request ended. Both are judged by one monotonic clock of one process, so a stepped wall
//!    clock or a pause cannot separate them: a process that wakes late sees the binding expired
//!    and the memory still there, or both gone.
//! 4. *Loss of `A` loses the permission.* If `A` dies, its memory and the only process that
//!    accepts `B` go together.
//!
//! So `K` runs at most once under `B`, however often it is retried, duplicated or reordered.
//!
//! # Changing the binding
//!
//! A caller may send `K` under another binding only after an answer of `not-run` to an attempt
//! that carried the binding it holds now; answers to attempts under earlier bindings change
//! nothing. Only `A` gives that answer to a request bound to `A`, and before it does, it closes
//! `K` for every binding it has issued so far (bindings carry a serial number that rises). A delayed duplicate of an
//! earlier attempt then finds the key closed. Closed keys are bounded: the oldest is dropped by
//! raising one floor under which every key that is not recorded is closed.
//!
//! After `ran` or `unknown` a caller keeps the binding; to send the key under a fresh one is to
//! ask for a second run.

mod binding_claim;
mod binding_codec;
mod binding_error;

pub use binding_claim::BindingClaim;
pub use binding_codec::{MAX_TOKEN_CHARS, decode, encode};
pub use binding_error::BindingError;
