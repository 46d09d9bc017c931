//! Starts a recording of the node's traffic, if its settings configure one: client connections, and the links to the
//! agent and to the downstream tier.

use crate::context::NodeContext;
use crate::traffic_recording::TrafficRecording;
use rainstand_config::schema::Recording;
use rainstand_traffic_recorder::file_store::{Directory, FileStore};
use rainstand_traffic_recorder::{Limits, Recorder};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The program's name and version, as written to a recording's files.
const PROGRAM: &str = concat!("rainstand-node ", env!("CARGO_PKG_VERSION"));

/// The recording's thread could not be started.
#[derive(Debug, thiserror::Error)]
#[error("recording: {0}")]
pub struct RecordingError(#[from] std::io::Error);

/// Starts a recording.
///
/// # Errors
/// If its thread could not be started.
pub fn start(context: &NodeContext, recording: &Recording) -> Result<(), RecordingError> {
    let start = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let store = Directory {
        path: PathBuf::from(&recording.folder),
        name: context.config.name.clone(),
        start,
    };
    let limits = Limits {
        file_bytes: recording.file_bytes,
        files: recording.files,
    };
    start_with_store(context, store, limits, recording.links)
}

/// As [`start`], with any file store. `includes_links` tells whether the links to the agent and to the downstream tier
/// are recorded, too.
///
/// # Errors
/// If its thread could not be started.
pub fn start_with_store(
    context: &NodeContext,
    store: impl FileStore + Send + 'static,
    limits: Limits,
    includes_links: bool,
) -> Result<(), RecordingError> {
    let recorder = Recorder::start(store, limits, PROGRAM)?;
    let record = Rc::new(TrafficRecording {
        recorder,
        includes_links,
    });
    let pool = context.core.borrow().table.downstream.clone();
    let _ = pool.recording.set(record.clone());
    let _ = context.recording.set(record);
    Ok(())
}
