//! Reads the start settings (JSON) and builds an admission controller and its name tables from them.
//!
//! The keys of the settings format differ from the Rust names; `keys` maps them. Every error names the invalid field
//! in the words that are shown to operators.

mod alignment;
mod error;
pub mod fields;
mod keys;
mod start;

pub use alignment::align_names;
pub use error::SettingsError;
pub use start::{ClassLimits, Machine, Start};
