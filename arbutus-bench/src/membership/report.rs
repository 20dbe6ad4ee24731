use std::fmt;

/// Named figures of a measurement, printed one per line.
#[derive(Debug, Default)]
pub(super) struct Findings {
    lines: Vec<(String, String)>,
}

impl Findings {
    /// Adds a figure and prints it to stderr as progress.
    pub fn add(&mut self, name: &str, value: impl fmt::Display) {
        eprintln!("{name}={value}");
        self.lines.push((name.to_owned(), value.to_string()));
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in &self.lines {
            writeln!(f, "{name:<44} {value}")?;
        }
        Ok(())
    }
}
