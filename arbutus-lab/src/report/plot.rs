use error_stack::{Report, ResultExt};
use plotters::{coord::Shift, prelude::*};

use super::{Line, Series};
use crate::{error::LabError, experiment::Outcome};

/// Width of the drawing in pixels.
const WIDTH: u32 = 1_000;
/// Height of each plot in pixels.
const PLOT_HEIGHT: u32 = 300;
/// Ratio of the top of the vertical axis to the highest value.
const HEADROOM: f64 = 1.1;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws all plots of a run, one above the other, with a vertical line at each event.
///
/// # Errors
///
/// Returns an error if the drawing library fails.
pub fn svg(outcome: &Outcome) -> Result<String, Report<LabError>> {
    let plots = Series::of(outcome);
    let mut text = String::new();
    {
        let count = u32::try_from(plots.len()).unwrap_or(1);
        let size = (WIDTH, PLOT_HEIGHT * count);
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        root.fill(&WHITE).change_context(LabError::File)?;
        for (area, series) in root.split_evenly((plots.len(), 1)).iter().zip(&plots) {
            draw(area, series, outcome)?;
        }
        root.present().change_context(LabError::File)?;
    }
    Ok(text)
}

/// Draws one plot.
fn draw(area: &Area<'_>, series: &Series, outcome: &Outcome) -> Result<(), Report<LabError>> {
    let end = since_start(outcome, outcome.evidence.ended_us);
    let top = (series.highest() * HEADROOM).max(1.0);
    let mut chart = ChartBuilder::on(area)
        .caption(series.title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..top)
        .change_context(LabError::File)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .draw()
        .change_context(LabError::File)?;
    for change in &outcome.evidence.changes {
        let at = since_start(outcome, change.at_us);
        let mark = PathElement::new([(at, 0.0), (at, top)], BLACK.mix(0.4));
        chart.draw_series([mark]).change_context(LabError::File)?;
    }
    for (index, Line { name, points }) in series.lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour))
            .change_context(LabError::File)?
            .label(&**name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.2))
        .draw()
        .change_context(LabError::File)
}

/// Returns the time from the start of the load to `at_us`, in seconds.
#[expect(clippy::cast_precision_loss, reason = "durations of hours are exact")]
fn since_start(outcome: &Outcome, at_us: u64) -> f64 {
    at_us.saturating_sub(outcome.evidence.started_us) as f64 / 1e6
}
