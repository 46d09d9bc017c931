//! Errors of reading settings; the texts are shown to operators.

use std::time::TryFromFloatSecsError;

/// Why settings cannot be read, with the key of the invalid field.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A field is missing, or not a string.
    #[error("{key}: no text there")]
    MissingText {
        /// The field's key.
        key: String,
    },
    /// A field is missing, or not an object.
    #[error("{key}: no object there")]
    MissingObject {
        /// The field's key.
        key: String,
    },
    /// A field is missing, or null, where a number is required.
    #[error("{key}: no number there")]
    MissingNumber {
        /// The field's key.
        key: String,
    },
    /// A field is missing, or not an unsigned integer.
    #[error("{key}: no whole number there")]
    MissingUnsigned {
        /// The field's key.
        key: String,
    },
    /// An optional field is present, but not a number.
    #[error("{key}: not a number")]
    NotANumber {
        /// The field's key.
        key: String,
    },
    /// A number that is not a valid duration: negative, not finite or too large.
    #[error("{seconds} s: {source}")]
    InvalidDuration {
        /// The number.
        seconds: f64,
        /// Why [`Duration`](std::time::Duration) cannot hold it.
        source: TryFromFloatSecsError,
    },
    /// A field whose number is not a valid duration.
    #[error("{key}: {source}")]
    InvalidDurationField {
        /// The field's key.
        key: String,
        /// Why its number is not a valid duration.
        source: Box<SettingsError>,
    },
    /// An entry of a list that is not an object.
    #[error("{key}: an entry is no object")]
    EntryNotAnObject {
        /// The list's key.
        key: String,
    },
    /// An unknown value for the repeatability of a request class.
    #[error("effect: {word} is not known")]
    UnknownRepeatability {
        /// The unknown value.
        word: String,
    },
    /// An unknown value for how runs can be cancelled.
    #[error("halt: {word} is not off, drop or pause")]
    UnknownCancellation {
        /// The unknown value.
        word: String,
    },
    /// New settings for a running node have different names of request classes or tenants.
    #[error("traffic types and tenants change only at a start")]
    NamesChanged,
}
