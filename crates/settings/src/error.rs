//! Why settings cannot be read; the texts are shown to operators.

use std::time::TryFromFloatSecsError;

/// Why settings cannot be read, with the key that is at fault.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A field is missing, or no text.
    #[error("{key}: no text there")]
    MissingText {
        /// The field's key.
        key: String,
    },
    /// A field is missing, or no object.
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
    /// A field is missing, or no unsigned integer.
    #[error("{key}: no whole number there")]
    MissingUnsigned {
        /// The field's key.
        key: String,
    },
    /// A field that may be missing is there, but no number.
    #[error("{key}: not a number")]
    NotANumber {
        /// The field's key.
        key: String,
    },
    /// A number that is no duration: negative, not finite or too large.
    #[error("{seconds} s: {source}")]
    InvalidDuration {
        /// The number.
        seconds: f64,
        /// Why [`Duration`](std::time::Duration) cannot hold it.
        source: TryFromFloatSecsError,
    },
    /// A field whose number is no duration.
    #[error("{key}: {source}")]
    InvalidDurationField {
        /// The field's key.
        key: String,
        /// What is wrong with its number.
        source: Box<SettingsError>,
    },
    /// An entry of a list that is no object.
    #[error("{key}: an entry is no object")]
    EntryNotAnObject {
        /// The list's key.
        key: String,
    },
    /// A request class with an unknown word for its repeatability.
    #[error("effect: {word} is not known")]
    UnknownEffect {
        /// The word.
        word: String,
    },
    /// An unknown word for how runs can be stopped.
    #[error("halt: {word} is not off, drop or pause")]
    UnknownHalt {
        /// The word.
        word: String,
    },
    /// New settings for a running node name other request classes or tenants.
    #[error("traffic types and tenants change only at a start")]
    NamesChanged,
}
