use error_stack::{AttachmentKind, FrameKind, Report};

use crate::findings::{Finding, Findings};

/// Returns a readable description of a failure.
///
/// The description lists all findings, one per line. A report without findings is described by its
/// causes in a single line.
///
/// # Examples
///
/// ```
/// let missing = std::path::Path::new("/none/balancer.jsonc");
/// let report = arbutus_settings::balancer::BalancerSettings::load(missing).unwrap_err();
/// assert_eq!(
///     arbutus_settings::describe(&report),
///     "/none/balancer.jsonc: the settings could not be read: \
///      No such file or directory (os error 2)"
/// );
/// ```
#[must_use]
pub fn describe<C>(report: &Report<C>) -> String {
    let lines: Vec<_> = findings(report).iter().map(ToString::to_string).collect();
    if lines.is_empty() {
        return causes(report);
    }
    lines.join("\n")
}

/// Returns the findings that are attached to a report.
#[must_use]
pub fn findings<C>(report: &Report<C>) -> Vec<&Finding> {
    let attached = report.frames().filter_map(|frame| frame.downcast_ref());
    attached.flat_map(Findings::iter).collect()
}

/// Returns the contexts and printable attachments of a report, the most recent first.
fn causes<C>(report: &Report<C>) -> String {
    let parts = report.frames().filter_map(|frame| match frame.kind() {
        FrameKind::Context(context) => Some(context.to_string()),
        FrameKind::Attachment(AttachmentKind::Printable(text)) => Some(text.to_string()),
        FrameKind::Attachment(_) => None,
    });
    parts.collect::<Vec<_>>().join(": ")
}
