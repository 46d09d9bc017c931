//! Recording of the node's own traffic, if its settings ask for it: dispatchers' connections, and the links
//! to the agent and to the tier below.

use crate::NodeContext;
use rainstand_config::schema::Recording;
use rainstand_traffic_recorder::disk::{Disk, Folder};
use rainstand_traffic_recorder::{Limits, Recorder, Tape};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;

/// The side of a recorded connection that opened it, as [`Tape::said`] counts them.
pub const CLIENT_SIDE: usize = 0;
/// The side of a recorded connection that accepted it.
pub const SERVER_SIDE: usize = 1;

pub struct TrafficRecording {
    pub recorder: Rc<Recorder>,
    links: bool,
}

impl TrafficRecording {
    /// The tape of a link that the node opened, if links are recorded.
    pub fn link(&self, stream: &TcpStream) -> Option<Tape> {
        let (own, other) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
        self.links.then(|| self.recorder.tape(own, other))
    }
}

/// Starts a recording.
///
/// # Errors
/// No thread could be started for it.
pub fn start(context: &NodeContext, recording: &Recording) -> Result<(), String> {
    let start = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let disk = Folder {
        folder: PathBuf::from(&recording.folder),
        name: context.config.name.clone(),
        start,
    };
    let limits = Limits {
        file_bytes: recording.file_bytes,
        files: recording.files,
    };
    start_on(context, disk, limits, recording.links)
}

/// As [`start`], on any disk.
///
/// # Errors
/// No thread could be started for it.
pub fn start_on(
    context: &NodeContext,
    disk: impl Disk + Send + 'static,
    limits: Limits,
    links: bool,
) -> Result<(), String> {
    let program = concat!("rainstand-node ", env!("CARGO_PKG_VERSION"));
    let recorder = Recorder::start(disk, limits, program).map_err(|e| format!("recording: {e}"))?;
    let record = Rc::new(TrafficRecording { recorder, links });
    let _ = context
        .core
        .borrow()
        .table
        .downstream
        .record
        .set(record.clone());
    let _ = context.record.set(record);
    Ok(())
}
