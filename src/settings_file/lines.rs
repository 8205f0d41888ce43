//! Finds sections and keys in an INI text by line: the parser does not report the positions of values.

/// Whether a line is empty, a comment, a section header or a key with a value.
pub fn is_ini(line: &str) -> bool {
    let line = line.trim();
    match line.chars().next() {
        None | Some(';' | '#') => true,
        Some('[') => line.contains(']'),
        Some(_) => line.contains(['=', ':']),
    }
}

/// The line, counted from 1, on which a section starts; zero if the text does not have it.
pub fn line_of_section(text: &str, section: &str) -> usize {
    let starts = |line: &str| section_name(line).is_some_and(|name| name == section);
    text.lines().position(|line| starts(line.trim())).map_or(0, |index| index + 1)
}

/// The line, counted from 1, of the `nth` occurrence of a key in a section, counted from 0; zero if there is none.
pub fn line_of_key(text: &str, section: &str, key: &str, nth: usize) -> usize {
    let mut current_section = "";
    let mut found = 0;
    for (index, line) in text.lines().map(str::trim).enumerate() {
        if let Some(name) = section_name(line) {
            current_section = name;
        } else if current_section == section && key_name(line) == key {
            if found == nth {
                return index + 1;
            }
            found += 1;
        }
    }
    0
}

fn section_name(line: &str) -> Option<&str> {
    line.strip_prefix('[')?.split(']').next().map(str::trim)
}

fn key_name(line: &str) -> &str {
    line.split(['=', ':']).next().unwrap_or_default().trim()
}
