use std::fmt::Write;

use error_stack::{Report, ResultExt};
use serde_json::Value;

use super::svg;
use crate::{error::LabError, experiment::Outcome};

/// Style sheet of the page.
const STYLE: &str = "body { font-family: sans-serif; margin: 2em auto; max-width: 1000px }
td { padding: 0.1em 1em 0.1em 0 } .broken { color: #b00020; font-weight: bold }";

/// Renders an HTML page with the events, the plots and the figures of a run.
///
/// # Errors
///
/// Returns an error if the drawing library fails.
pub fn html(outcome: &Outcome) -> Result<String, Report<LabError>> {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Run of arbutus-lab</title><style>{STYLE}</style></head><body>\n\
         <h1>{} under test</h1>\n",
        outcome.evidence.service
    );
    write_events(&mut page, outcome);
    page.push_str(&svg(outcome)?);
    write_figures(&mut page, outcome)?;
    page.push_str("</body></html>\n");
    Ok(page)
}

/// Writes the table of events.
fn write_events(page: &mut String, outcome: &Outcome) {
    page.push_str("<h2>Events</h2>\n<table>\n");
    for change in &outcome.evidence.changes {
        let at_ms = change.at_us.saturating_sub(outcome.evidence.started_us) / 1_000;
        let (kind, target) = (change.kind, &change.target);
        // Writing to a string cannot fail.
        let _ = writeln!(
            page,
            "<tr><td>{at_ms} ms</td><td>{kind:?}</td><td>{target:?}</td></tr>"
        );
    }
    page.push_str("</table>\n");
}

/// Writes the table of figures, in which those of violated guarantees are highlighted.
fn write_figures(page: &mut String, outcome: &Outcome) -> Result<(), Report<LabError>> {
    let figures = serde_json::to_value(&outcome.verdict).change_context(LabError::File)?;
    let violations = outcome.verdict.violated_guarantees();
    page.push_str("<h2>Figures</h2>\n<table>\n");
    for (name, value) in figures.as_object().into_iter().flatten() {
        let is_violated = violations.iter().any(|it| it.figure == name);
        let class = if is_violated { " class=\"broken\"" } else { "" };
        let _ = writeln!(
            page,
            "<tr{class}><td>{name}</td><td>{}</td></tr>",
            format_figure(value)
        );
    }
    page.push_str("</table>\n");
    Ok(())
}

/// Formats a figure as text; the parts of an object are separated by commas.
fn format_figure(value: &Value) -> String {
    match value {
        Value::Object(parts) => {
            let parts = parts.iter().map(|(name, value)| format!("{name} {value}"));
            parts.collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}
