//! What can go wrong around an experiment.

use std::path::{Path, PathBuf};

/// Why an experiment is not played, stored, compared or drawn. Texts name the file that they are about.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// Traffic of a request class that the configuration does not have.
    #[error("there is no type `{0}`")]
    UnknownRequestClass(String),
    /// Traffic of a tenant that the configuration does not have.
    #[error("there is no tenant `{0}`")]
    UnknownTenant(String),
    /// A flood of a tenant without traffic.
    #[error("a flood of `{0}`, who asks for nothing")]
    FloodWithoutTraffic(String),
    /// A fault whose kind this version does not know.
    #[error("a fault of no kind")]
    UnknownFault,
    /// The model cannot play a variant.
    #[error("{variant}: {reason}")]
    InvalidVariant {
        /// Label of the variant.
        variant: String,
        /// What in its plan makes no sense.
        reason: String,
    },
    /// Too few seeds were played with both variants.
    #[error("{0} seeds are in both; a comparison takes at least two")]
    TooFewPairs(usize),
    /// No variant has a point to draw.
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
        /// Why.
        source: std::io::Error,
    },
    /// A finished run could not be written as JSON.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Why.
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
