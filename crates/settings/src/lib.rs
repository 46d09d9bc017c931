//! Start settings, as JSON, made into an admission controller and the tables of names beside it.
//!
//! The keys are those of the settings' format, whatever the Rust names behind them; `keys` maps them once. Every
//! error names the field that is at fault, in the words that are shown to operators.

mod alignment;
mod error;
pub mod fields;
mod keys;
mod start;

pub use alignment::align_names;
pub use error::SettingsError;
pub use start::{ClassLimits, Machine, Start};
