//! Percent-encoding of names in paths.

use std::fmt::Write;

/// Encodes all but unreserved characters, so that a name is always one path segment.
pub(crate) fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _written = write!(out, "%{byte:02X}");
        }
    }
    // Dot segments are removed by some intermediaries.
    match out.as_str() {
        "." => "%2E".to_owned(),
        ".." => "%2E%2E".to_owned(),
        _ => out,
    }
}
