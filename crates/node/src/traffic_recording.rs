//! The node's traffic recording, where its settings ask for one: the recorder, and whether links are recorded, too.

use rainstand_traffic_recorder::{ConnectionRecorder, Recorder};
use std::rc::Rc;
use tokio::net::TcpStream;

/// A recording of the node's traffic.
pub struct TrafficRecording {
    /// Where dispatchers' connections are recorded.
    pub recorder: Rc<Recorder>,
    /// Whether the links to the agent and to the tier below are recorded, too.
    pub(crate) includes_links: bool,
}

impl TrafficRecording {
    /// The recording of a link that the node opened, if links are recorded.
    pub fn link(&self, stream: &TcpStream) -> Option<ConnectionRecorder> {
        let own = stream.local_addr().ok()?;
        let other = stream.peer_addr().ok()?;
        self.includes_links
            .then(|| self.recorder.connection(own, other))
    }
}
