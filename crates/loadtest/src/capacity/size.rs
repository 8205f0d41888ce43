//! The size of the deployment for which capacity is computed: named numbers from an INI file.

use std::collections::BTreeMap;

use dunemount::text_file::LineError;
use ini::Ini;

/// The size of a deployment: numbers by name. Sections only group the names for readers; a name is unique in the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentSize(BTreeMap<String, f64>);

impl DeploymentSize {
    /// Parses the text of a size file.
    ///
    /// # Errors
    /// The first line that is neither a section nor a key with a finite, non-negative number, or that sets a name
    /// again.
    pub fn read(text: &str) -> Result<DeploymentSize, LineError<String>> {
        let file = Ini::load_from_str_noescape(text)
            .map_err(|e| LineError::new(e.line + 1, "expected a [section] or a key with its value"))?;
        let mut size = DeploymentSize::default();
        for (section, values) in &file {
            for (name, value) in values {
                let key = format!("[{}] {name}", section.unwrap_or_default());
                let already_set = size.0.contains_key(name);
                let line = assignment_line(text, name, usize::from(already_set));
                let number: f64 = value
                    .trim()
                    .parse()
                    .map_err(|_| LineError::new(line, format!("{key}: {value:?} is not a number")))?;
                if !number.is_finite() || number < 0.0 {
                    return Err(LineError::new(line, format!("{key}: {value:?} is negative or not finite")));
                }
                if size.0.insert(name.to_string(), number).is_some() {
                    return Err(LineError::new(line, format!("{key}: this name is already set")));
                }
            }
        }
        Ok(size)
    }

    /// Names and numbers, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, f64)> {
        self.0.iter().map(|(name, number)| (name.as_str(), *number))
    }

    /// The number of a name, if the file sets it.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.get(name).copied()
    }

    /// A copy with one number multiplied by `factor`.
    #[must_use]
    pub fn scaled(&self, name: &str, factor: f64) -> DeploymentSize {
        let mut size = self.clone();
        size.0.entry(name.to_string()).and_modify(|number| *number *= factor);
        size
    }
}

/// The line number, counted from 1, of the assignment to `name` that follows `skipped` earlier ones; 0 if there is
/// none.
fn assignment_line(text: &str, name: &str, skipped: usize) -> usize {
    let is_assignment = |line: &str| line.split_once('=').is_some_and(|(key, _)| key.trim() == name);
    let lines = text.lines().enumerate().filter(|(_, line)| is_assignment(line));
    lines.map(|(index, _)| index + 1).nth(skipped).unwrap_or(0)
}
