//! The load report of a database host: the value of the row with which it answers a health check.

use crate::Role;

/// Largest number of digits before, and after, the decimal point of a number that a host sends.
const MAX_DIGITS: usize = 15;

/// Whether the text is a plain decimal number: digits, with at most one decimal point between them.
pub(super) fn is_plain_number(text: &str) -> bool {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_digits =
        |text: &str| (1..=MAX_DIGITS).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    is_digits(whole) && is_digits(fraction)
}

/// The role and the log position in a load report such as `x0=1767225600.123,x1=1`. Only load reports give a position
/// in seconds; it is returned as Unix time in milliseconds, like positions from other sources. A report with any
/// invalid field is ignored as a whole, since the rest of it may be corrupt as well.
pub fn parse(text: &[u8]) -> (Option<Role>, Option<f64>) {
    let (mut role, mut position) = (None, None);
    for pair in std::str::from_utf8(text).unwrap_or("?").split(',') {
        match pair.trim().split_once('=') {
            Some(("x1", "1" | "1.0")) => role = Some(Role::Primary),
            Some(("x1", "0" | "0.0")) => role = Some(Role::Replica),
            Some(("x0", seconds)) if is_plain_number(seconds) => {
                position = seconds.parse().ok().map(|seconds: f64| seconds * 1000.0);
            }
            Some((name, value)) if !matches!(name, "x0" | "x1") && is_plain_number(value) => {}
            _ => return (None, None),
        }
    }
    (role, position)
}
