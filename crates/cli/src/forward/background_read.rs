//! Reads the forwarder's configuration on a separate thread.
//!
//! Reading a file of 154,000 lines takes a third of a second, which would delay requests, and many times the memory of
//! the configuration. All of that memory is freed once no allocation of the thread is left, so the thread returns
//! the result as bytes.

use crate::config_file::read;
use crate::error::CommandError;
use crate::output::ExitStatus;
use rainstand_config::schema::{self, Configuration};
use rainstand_routing::subset::reduce;
use std::io;
use std::thread;
use tokio::sync::oneshot::{self, Receiver};

/// Why a configuration cannot be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The findings were printed already.
    #[error("the configuration has errors")]
    Reported(ExitStatus),
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The thread ended without a result.
    #[error("the reading thread ended without a result")]
    NoResult,
    /// The bytes that the thread returned cannot be decoded.
    #[error(transparent)]
    Malformed(#[from] schema::DecodeError),
}

impl From<CommandError> for ReadError {
    fn from(error: CommandError) -> Self {
        match error {
            CommandError::Io(error) => Self::Io(error),
            error => Self::Reported(error.print()),
        }
    }
}

/// A configuration that is being read.
pub(super) struct BackgroundRead {
    encoded: Receiver<Result<Vec<u8>, ReadError>>,
}

impl BackgroundRead {
    /// Starts to read a file. Each pool is reduced to the subset of members that the forwarder of this number uses.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub(super) fn start(path: &str, forwarder_number: usize) -> io::Result<Self> {
        let (sender, encoded) = oneshot::channel();
        let path = path.to_owned();
        thread::Builder::new().name("read".into()).spawn(move || {
            // The receiver is gone if the program is exiting.
            let _ = sender.send(read_encoded(&path, forwarder_number));
        })?;
        Ok(Self { encoded })
    }

    /// Waits until the configuration is read.
    ///
    /// # Errors
    /// If it cannot be read or has errors.
    pub(super) async fn finish(self) -> Result<Configuration, ReadError> {
        decode(self.encoded.await.map_err(|_| ReadError::NoResult)?)
    }

    /// Like [`Self::finish`], but blocking: for use before the runtime runs.
    pub(super) fn finish_blocking(self) -> Result<Configuration, ReadError> {
        let encoded = self.encoded.blocking_recv();
        decode(encoded.map_err(|_| ReadError::NoResult)?)
    }
}

fn read_encoded(path: &str, forwarder_number: usize) -> Result<Vec<u8>, ReadError> {
    let mut configuration = read(path, false)?.configuration;
    reduce(&mut configuration, forwarder_number);
    Ok(schema::to_binary(&configuration))
}

fn decode(encoded: Result<Vec<u8>, ReadError>) -> Result<Configuration, ReadError> {
    Ok(schema::from_own_binary(&encoded?)?)
}
