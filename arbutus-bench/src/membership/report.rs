use std::fmt;

/// Findings of a measurement, one line each.
#[derive(Debug, Default)]
pub(super) struct Findings {
    lines: Vec<(String, String)>,
}

impl Findings {
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
