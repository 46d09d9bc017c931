//! Errors of experiments.

use std::path::{Path, PathBuf};

/// Why an experiment cannot be run, stored, compared or drawn. File errors name the file.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// Traffic of a request class that is not in the configuration.
    #[error("there is no type `{0}`")]
    UnknownRequestClass(String),
    /// Traffic of a tenant that is not in the configuration.
    #[error("there is no tenant `{0}`")]
    UnknownTenant(String),
    /// A flood of a tenant without traffic.
    #[error("a flood of `{0}`, which has no traffic")]
    FloodWithoutTraffic(String),
    /// A fault of a kind that this version does not support.
    #[error("a fault has no known kind")]
    UnknownFault,
    /// The plan of a variant is invalid.
    #[error("{variant}: {reason}")]
    InvalidVariant {
        /// Label of the variant.
        variant: String,
        /// What is invalid in its plan.
        reason: String,
    },
    /// Too few seeds were run with both variants.
    #[error("{0} seeds were run with both variants; a comparison needs at least two")]
    TooFewPairs(usize),
    /// No variant has a data point.
    #[error("there is nothing to draw")]
    NothingToDraw,
    /// A picture could not be drawn.
    #[error("{0}")]
    Drawing(String),
    /// A file could not be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A finished run could not be written as JSON.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// A Parquet file could not be read or written.
    #[error("{0}")]
    Parquet(#[from] parquet::errors::ParquetError),
}

impl ExperimentError {
    /// An error about a file.
    pub(crate) fn file(path: &Path, source: std::io::Error) -> Self {
        Self::File {
            path: path.to_owned(),
            source,
        }
    }
}
