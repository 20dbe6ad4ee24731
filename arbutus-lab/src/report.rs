//! Plots and an HTML page of a run.

mod page;
mod plot;
mod series;

pub use page::html;
pub use plot::svg;
pub use series::{Line, Series};
