//! The expected response body of each request, by which a wrong answer is detected.

use std::fmt::Write;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use arbutus_core::ident::ServiceTag;

/// Largest number of lines in a body.
const MAX_BODY_LINES: usize = 200;

/// Returns the expected response body for the request `id` to `service`.
///
/// The body depends on `service` and `id` alone. Each line contains the request ID, so that a body
/// that is truncated, belongs to another request or mixes two requests differs from it.
///
/// # Examples
///
/// ```
/// use arbutus_lab::content;
///
/// assert_eq!(content::body("lookup", "c1-2"), content::body("lookup", "c1-2"));
/// assert_ne!(content::body("lookup", "c1-2"), content::body("tables", "c1-2"));
/// ```
#[must_use]
pub fn body(service: &str, id: &str) -> String {
    let tag = ServiceTag::of_name(&format!("{service}/{id}"));
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(tag.get()));
    let lines = rng.random_range(1..=MAX_BODY_LINES);
    let mut body = String::with_capacity(lines * (service.len() + id.len() + 16));
    for line in 0..lines {
        let salt: u32 = rng.random();
        // Writing to a string cannot fail.
        let _ = writeln!(body, "{service} {id} {line} {salt:08x}");
    }
    body
}
