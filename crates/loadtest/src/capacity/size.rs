//! The size that is worked out: named numbers from an INI file.

use std::collections::BTreeMap;

use dunemount::text_file::LineError;
use ini::Ini;

/// A size: numbers by name. Sections are for the reader; a name stands once in the whole file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Size(BTreeMap<String, f64>);

impl Size {
    /// Reads a file's text.
    ///
    /// # Errors
    /// The first line that is no key with a finite number of zero or more, or that sets a name again.
    pub fn read(text: &str) -> Result<Size, LineError<String>> {
        let file = Ini::load_from_str_noescape(text)
            .map_err(|e| LineError::new(e.line + 1, "neither a [section] nor a key with its value"))?;
        let mut size = Size::default();
        for (section, values) in &file {
            for (name, value) in values {
                let place = format!("[{}] {name}", section.unwrap_or_default());
                let again = size.0.contains_key(name);
                let line = line_of(text, name, usize::from(again));
                let number: f64 = value
                    .trim()
                    .parse()
                    .map_err(|_| LineError::new(line, format!("{place}: {value:?} is no number")))?;
                if !number.is_finite() || number < 0.0 {
                    return Err(LineError::new(
                        line,
                        format!("{place}: {value:?} is not finite, or below zero"),
                    ));
                }
                if size.0.insert(name.to_string(), number).is_some() {
                    return Err(LineError::new(line, format!("{place}: set twice")));
                }
            }
        }
        Ok(size)
    }

    /// Names with their numbers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, f64)> {
        self.0.iter().map(|(name, number)| (name.as_str(), *number))
    }

    /// The number of this name.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.get(name).copied()
    }

    /// The same with one number so many times as large.
    #[must_use]
    pub fn scaled(&self, name: &str, times: f64) -> Size {
        let mut size = self.clone();
        size.0.entry(name.to_string()).and_modify(|number| *number *= times);
        size
    }
}

/// The line, counted from 1, that sets this name after so many others that do.
fn line_of(text: &str, name: &str, after: usize) -> usize {
    let sets = |line: &str| line.split_once('=').is_some_and(|(key, _)| key.trim() == name);
    let lines = text.lines().enumerate().filter(|(_, line)| sets(line));
    lines.map(|(at, _)| at + 1).nth(after).unwrap_or(0)
}
