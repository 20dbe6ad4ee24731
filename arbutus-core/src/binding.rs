//! Bindings: short-lived tokens that bind non-repeatable requests to one agent.
//!
//! A caller sends a non-repeatable request with an idempotency key and a binding. The binding
//! names one incarnation of one agent, and only that incarnation may run the key.
//!
//! # At most once
//!
//! Let `K` be a key that its caller sends under binding `B`, which incarnation `A` issued.
//!
//! 1. *Only `A` accepts `B`.* The token carries the agent's address, its full incarnation and a
//!    random number drawn at the start of the process, authenticated by a MAC. Any other agent
//!    hands the request over to `A` or answers `unknown`. A later process at the same address has a
//!    different random number, whatever its clock showed when it started.
//! 2. *`A` runs `K` once.* `A` records `K` before it sends the first byte to the backend server,
//!    and does not run a key that is already recorded. If the key memory is full, so that `A`
//!    cannot record `K`, it refuses the request.
//! 3. *`A` remembers `K` for longer than it accepts `B`.* `A` accepts `B` until its expiry. It
//!    keeps a key after the key's request has ended for the longest TTL of any binding it issued,
//!    plus a margin. Both times are measured by one monotonic clock of one process, so a step of
//!    the wall clock or a pause of the process cannot separate them: when a process resumes late,
//!    either only the binding has expired, or both the binding and the recorded key have.
//! 4. *The end of `A` ends the permission.* If `A` dies, its recorded keys and the only process
//!    that accepts `B` are lost together.
//!
//! Therefore `K` runs at most once under `B`, however often its request is retried, duplicated or
//! reordered.
//!
//! # Changing the binding
//!
//! A caller may send `K` under another binding only after it received `not-run` for an attempt that
//! carried the binding it holds now; answers to attempts under earlier bindings do not count. Only
//! `A` answers `not-run` to a request bound to `A`, and before it does, it closes `K` for every
//! binding it has issued so far (bindings carry an increasing serial number). A delayed duplicate
//! of an earlier attempt then finds the key closed.
//!
//! The number of closed keys is bounded. To drop the oldest one, `A` raises a single serial number
//! below which every key that is not recorded is closed.
//!
//! After `ran` or `unknown` a caller keeps its binding. Sending the key under a fresh binding
//! requests a second run.

mod binding_claim;
mod binding_codec;
mod binding_error;

pub use binding_claim::BindingClaim;
pub use binding_codec::{MAX_TOKEN_CHARS, decode, encode};
pub use binding_error::BindingError;
