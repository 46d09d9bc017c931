//! Starting a recording of the node's own traffic, if its settings ask for one: dispatchers' connections, and the links
//! to the agent and to the tier below.

use crate::context::NodeContext;
use crate::traffic_recording::TrafficRecording;
use rainstand_config::schema::Recording;
use rainstand_traffic_recorder::file_store::{Directory, FileStore};
use rainstand_traffic_recorder::{Limits, Recorder};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The program's name and version, as a recording's files carry them.
const PROGRAM: &str = concat!("rainstand-node ", env!("CARGO_PKG_VERSION"));

/// No thread could be started for a recording.
#[derive(Debug, thiserror::Error)]
#[error("recording: {0}")]
pub struct RecordingError(#[from] std::io::Error);

/// Starts a recording.
///
/// # Errors
/// No thread could be started for it.
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
    start_on(context, store, limits, recording.links)
}

/// As [`start`], on any store of files. `includes_links`: whether the links to the agent and to the tier below are recorded, too.
///
/// # Errors
/// No thread could be started for it.
pub fn start_on(
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
    let _ = pool.record.set(record.clone());
    let _ = context.record.set(record);
    Ok(())
}
