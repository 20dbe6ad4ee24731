use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One process of a backend server.
///
/// A backend server that starts again under its identifier is another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendProcess {
    /// The backend server's own identifier.
    pub id: Arc<str>,
    /// The start time that the process reports, in milliseconds since the Unix epoch. It never
    /// changes, but the clock it was read from may have been wrong.
    pub started_at_ms: u64,
}
