//! Percent-encoding of path segments and query values.

use std::fmt::Write;

use tarragon_codes::{Code, Failure, Outcome};

/// Decodes `%XX` triplets; the result must be UTF-8 without control characters.
pub fn decode(text: &str) -> Outcome<String> {
    let malformed = || {
        Failure::new(
            Code::Malformed,
            "path or query is not valid percent-encoding",
        )
    };
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let mut digit = || {
            bytes
                .next()
                .and_then(|b| char::from(b).to_digit(16))
                .ok_or_else(malformed)
        };
        let value = digit()? * 16 + digit()?;
        out.push(value as u8);
    }
    let Ok(text) = String::from_utf8(out) else {
        return Err(malformed());
    };
    if text.chars().any(char::is_control) {
        return Err(Failure::new(
            Code::Malformed,
            "path or query contains a control character",
        ));
    }
    Ok(text)
}

/// Encodes all but unreserved characters, so that the result is one path segment.
pub fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            // Writing to a `String` does not fail.
            let _written = write!(out, "%{byte:02X}");
        }
    }
    // Some intermediaries remove the path segments `.` and `..`.
    match out.as_str() {
        "." => "%2E".to_owned(),
        ".." => "%2E%2E".to_owned(),
        _ => out,
    }
}
