//! Errors of subcommands, and the exit statuses that they lead to.

use crate::output::ExitStatus;
use rainstand_config::schema;
use std::error::Error;
use std::fmt::Display;
use std::io;

/// The result of a subcommand.
pub(crate) type CommandResult = Result<ExitStatus, CommandError>;

/// An error that ends a subcommand.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A file, an address or an argument cannot be used.
    #[error("{subject}: {reason}")]
    Unusable {
        /// The path, the address, or the option's name.
        subject: String,
        reason: Box<dyn Error>,
    },
    /// A file is not a valid compiled configuration.
    #[error("{path}:{error}")]
    MalformedConfiguration {
        path: String,
        error: schema::DecodeError,
    },
    /// The findings were printed already.
    #[error("findings were printed")]
    Reported(ExitStatus),
    /// Standard output cannot be written, or another system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl CommandError {
    /// Creates a [`CommandError::Unusable`].
    pub(crate) fn unusable(subject: impl Display, reason: impl Into<Box<dyn Error>>) -> Self {
        Self::Unusable {
            subject: subject.to_string(),
            reason: reason.into(),
        }
    }

    /// Prints the error on standard error unless it was reported before or the reader has closed our output.
    /// Returns the exit status.
    pub(crate) fn print(&self) -> ExitStatus {
        match self {
            Self::Reported(status) => return *status,
            // The reader closed our output, as `head` does once it has enough lines: not an error.
            Self::Io(error) if error.kind() == io::ErrorKind::BrokenPipe => {
                return ExitStatus::Success;
            }
            _ => {}
        }
        eprintln!("rainstand: {self}");
        match self {
            Self::MalformedConfiguration { .. } => ExitStatus::Found,
            _ => ExitStatus::Unusable,
        }
    }
}
