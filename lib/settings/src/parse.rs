//! Conversions of single values. Error texts never quote strings of the file, which may be secrets.

use std::{net::SocketAddr, str::FromStr};

use toml::de::DeValue;

/// Parses a string that is not blank.
pub fn text(value: &DeValue<'_>) -> Result<String, String> {
    match value {
        DeValue::String(s) if s.trim().is_empty() => Err("must not be empty".to_owned()),
        DeValue::String(s) => Ok(s.to_string()),
        _ => Err("must be a string".to_owned()),
    }
}

/// Parses a name of at most 100 letters, digits, `-`, `_`, `.` and `/`.
pub fn name<T>(value: &DeValue<'_>) -> Result<T, String>
where
    T: From<String>,
{
    let s = text(value)?;
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    if s.len() > 100 || !s.chars().all(allowed) {
        return Err("must be at most 100 letters, digits, '-', '_', '.' or '/'".to_owned());
    }
    Ok(T::from(s))
}

/// Parses a list of names.
pub fn names<T>(value: &DeValue<'_>) -> Result<Vec<T>, String>
where
    T: From<String>,
{
    let Some(array) = value.as_array() else {
        return Err("must be a list of strings".to_owned());
    };
    array.iter().map(|item| name(item.get_ref())).collect()
}

/// Parses a list of numbers.
pub fn numbers(value: &DeValue<'_>) -> Result<Vec<u32>, String> {
    let Some(array) = value.as_array() else {
        return Err("must be a list of numbers".to_owned());
    };
    array
        .iter()
        .map(|item| number(0, u64::from(u32::MAX))(item.get_ref()))
        .collect()
}

/// Parses a string by the type's `FromStr`.
pub fn from_text<T>(value: &DeValue<'_>) -> Result<T, String>
where
    T: FromStr<Err = String>,
{
    text(value)?.parse()
}

/// Parses an IP address and a port that other hosts can reach.
pub fn address(value: &DeValue<'_>) -> Result<SocketAddr, String> {
    let addr: SocketAddr = text(value)?
        .parse()
        .map_err(|_e| "must be an IP address and a port, such as 127.0.0.1:7101")?;
    if addr.port() == 0 {
        return Err("must have a port above 0".to_owned());
    }
    if addr.ip().is_unspecified() {
        return Err("must be an address that other hosts can reach, not 0.0.0.0 or ::".to_owned());
    }
    Ok(addr)
}

/// Parses `true` or `false`.
pub fn flag(value: &DeValue<'_>) -> Result<bool, String> {
    match value {
        DeValue::Boolean(is_set) => Ok(*is_set),
        _ => Err("must be true or false".to_owned()),
    }
}

/// Returns a parser of integers from `min` to `max`.
pub fn number<T>(min: u64, max: u64) -> impl Fn(&DeValue<'_>) -> Result<T, String>
where
    T: TryFrom<u64>,
{
    move |value| {
        let DeValue::Integer(digits) = value else {
            return Err("must be a whole number".to_owned());
        };
        i128::from_str_radix(digits.as_str(), digits.radix())
            .ok()
            .and_then(|n| u64::try_from(n).ok())
            .filter(|n| (min..=max).contains(n))
            .and_then(|n| T::try_from(n).ok())
            .ok_or_else(|| format!("must be from {min} to {max}, not {digits}"))
    }
}
