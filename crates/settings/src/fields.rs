//! Reading single fields of a JSON object, with errors that name the field.

use crate::SettingsError;
use serde_json::{Map, Value};
use std::time::Duration;

/// The fields of a JSON object.
pub type Fields = Map<String, Value>;

/// A string field.
///
/// # Errors
/// If it is missing or not a string.
pub fn text_of<'a>(fields: &'a Fields, key: &str) -> Result<&'a str, SettingsError> {
    let value = fields.get(key).and_then(Value::as_str);
    value.ok_or_else(|| SettingsError::MissingText {
        key: key.to_owned(),
    })
}

/// An object field.
///
/// # Errors
/// If it is missing or not an object.
pub fn object<'a>(fields: &'a Fields, key: &str) -> Result<&'a Fields, SettingsError> {
    let value = fields.get(key).and_then(Value::as_object);
    value.ok_or_else(|| SettingsError::MissingObject {
        key: key.to_owned(),
    })
}

/// A list field, empty if it is missing or not a list.
pub fn list<'a>(fields: &'a Fields, key: &str) -> &'a [Value] {
    let value = fields.get(key).and_then(Value::as_array);
    value.map_or(&[], Vec::as_slice)
}

/// An entry of a list as an object.
///
/// # Errors
/// If it is not an object; the error names the list by `key`.
pub fn entry_object<'a>(entry: &'a Value, key: &str) -> Result<&'a Fields, SettingsError> {
    let value = entry.as_object();
    value.ok_or_else(|| SettingsError::EntryNotAnObject {
        key: key.to_owned(),
    })
}

/// A number field that may be missing or null.
///
/// # Errors
/// If it is present and not a number.
pub fn optional(fields: &Fields, key: &str) -> Result<Option<f64>, SettingsError> {
    match fields.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_f64() {
            Some(number) => Ok(Some(number)),
            None => Err(SettingsError::NotANumber {
                key: key.to_owned(),
            }),
        },
    }
}

/// A number field.
///
/// # Errors
/// If it is missing or not a number.
pub fn number(fields: &Fields, key: &str) -> Result<f64, SettingsError> {
    optional(fields, key)?.ok_or_else(|| SettingsError::MissingNumber {
        key: key.to_owned(),
    })
}

/// An unsigned integer field.
///
/// # Errors
/// If it is missing or not an unsigned integer.
pub fn unsigned(fields: &Fields, key: &str) -> Result<u64, SettingsError> {
    let value = fields.get(key).and_then(Value::as_u64);
    value.ok_or_else(|| SettingsError::MissingUnsigned {
        key: key.to_owned(),
    })
}

/// A boolean field, false if it is missing or not a boolean.
pub fn flag(fields: &Fields, key: &str) -> bool {
    fields.get(key).and_then(Value::as_bool).unwrap_or(false)
}

/// Converts a number of seconds to a duration.
///
/// # Errors
/// If the number is negative, not finite or too large.
pub fn seconds(number: f64) -> Result<Duration, SettingsError> {
    Duration::try_from_secs_f64(number).map_err(|source| SettingsError::InvalidDuration {
        seconds: number,
        source,
    })
}

/// A duration field, given in seconds.
///
/// # Errors
/// If it is missing, not a number, or not a valid duration.
pub fn duration(fields: &Fields, key: &str) -> Result<Duration, SettingsError> {
    seconds(number(fields, key)?).map_err(|source| SettingsError::InvalidDurationField {
        key: key.to_owned(),
        source: Box::new(source),
    })
}
