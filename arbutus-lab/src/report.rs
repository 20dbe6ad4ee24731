//! Plots of a run, for people who would rather look than read.

mod page;
mod plot;
mod series;

pub use page::html;
pub use plot::svg;
pub use series::{Line, Series};
