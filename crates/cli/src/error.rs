//! Why a subcommand cannot do its work, and the exit status that says so.

use crate::output::ExitStatus;
use rainstand_config::schema;
use std::error::Error;
use std::fmt::Display;
use std::io;

/// How a subcommand ended.
pub(crate) type CommandResult = Result<ExitStatus, CommandError>;

/// Why a subcommand cannot do its work.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A file, an address or an argument cannot be used.
    #[error("{subject}: {reason}")]
    Unusable {
        /// The path, the address, or the option's name.
        subject: String,
        reason: Box<dyn Error>,
    },
    /// A file is no compiled configuration.
    #[error("{path}:{error}")]
    MalformedConfiguration {
        path: String,
        error: schema::DecodeError,
    },
    /// The findings are printed already.
    #[error("findings were printed")]
    Reported(ExitStatus),
    /// Standard output cannot be written, or the system lacks something.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl CommandError {
    /// The subject of an error, and what is wrong with it.
    pub(crate) fn unusable(subject: impl Display, reason: impl Into<Box<dyn Error>>) -> Self {
        Self::Unusable {
            subject: subject.to_string(),
            reason: reason.into(),
        }
    }

    /// Prints the error on standard error, unless that was done or is of no use; the status to end with.
    pub(crate) fn print(&self) -> ExitStatus {
        match self {
            Self::Reported(status) => return *status,
            // Somebody closed our output, such as `head`: they have what they wanted.
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
