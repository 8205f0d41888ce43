//! The project's own settings: an INI file beside the platform's JSON. What is not set has the value
//! that the platform's deployment needs; what is not known is an error and never passed over.

use ini::Ini;

use crate::fault::Fault;

/// Most worker threads that may be asked for.
pub const MOST_CORES: u64 = 64;

/// Everything that the file may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// `[cores] count`: worker threads for the traffic, 1 to [`MOST_CORES`].
    pub cores: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { cores: 1 }
    }
}

/// A key that may be set, the range of its values and where they go.
struct Key {
    section: &'static str,
    name: &'static str,
    range: (u64, u64),
    set: fn(&mut Options, u64),
}

const KEYS: &[Key] =
    &[Key { section: "cores", name: "count", range: (1, MOST_CORES), set: |o, n| o.cores = n as usize }];

impl Options {
    /// Reads a file's text, or names the first line of it that cannot be used.
    pub fn read(text: &str) -> Result<Options, Fault> {
        // The parser gives up a line or two behind what it could not read.
        let file = Ini::load_from_str_noescape(text).map_err(|e| {
            let line = text.lines().position(|line| !is_ini(line)).unwrap_or(e.line);
            Fault::at(line + 1, "neither a [section] nor a key with its value")
        })?;
        let mut options = Options::default();
        let mut faults = Vec::new();
        let mut seen = Vec::new();
        for (section, values) in &file {
            let section = section.unwrap_or_default();
            if !section.is_empty() && !KEYS.iter().any(|key| key.section == section) {
                let line = line_of(text, section, None, 0);
                faults.push(Fault::at(line, format!("[{section}]: no such section")));
                continue;
            }
            for (name, value) in values.iter() {
                let again = seen.iter().filter(|known| **known == (section, name)).count();
                seen.push((section, name));
                let line = line_of(text, section, Some(name), again);
                if again > 0 {
                    faults.push(Fault::at(line, format!("[{section}] {name}: set twice")));
                } else if let Err(what) = options.set(section, name, value) {
                    faults.push(Fault::at(line, format!("[{section}] {name}: {what}")));
                }
            }
        }
        match faults.into_iter().min_by_key(|fault| fault.line) {
            Some(first) => Err(first),
            None => Ok(options),
        }
    }

    fn set(&mut self, section: &str, name: &str, value: &str) -> Result<(), String> {
        let key = KEYS.iter().find(|key| key.section == section && key.name == name);
        let Some(key) = key else { return Err("no such key".into()) };
        let number: u64 = value.parse().map_err(|_| format!("{value:?} is no whole number"))?;
        let (least, most) = key.range;
        if number < least || number > most {
            return Err(format!("{number} is out of range ({least} to {most})"));
        }
        (key.set)(self, number);
        Ok(())
    }
}

/// Whether a line by itself is a comment, a section's head or a key with a value.
fn is_ini(line: &str) -> bool {
    let line = line.trim();
    match line.chars().next() {
        None | Some(';' | '#') => true,
        Some('[') => line.contains(']'),
        Some(_) => line.contains(['=', ':']),
    }
}

/// The line, counted from 1, on which a section starts, or a key of it stands for the `nth` time,
/// counted from 0. The parser gives values without their places.
fn line_of(text: &str, section: &str, key: Option<&str>, nth: usize) -> usize {
    let mut here = "";
    let mut found = 0;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
            here = name.trim();
            if key.is_none() && here == section {
                return index + 1;
            }
        } else if let Some(key) = key.filter(|_| here == section) {
            let name = line.split(['=', ':']).next().unwrap_or_default().trim();
            if name == key {
                if found == nth {
                    return index + 1;
                }
                found += 1;
            }
        }
    }
    0
}
