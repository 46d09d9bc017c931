//! The node's traffic recording, if its settings configure one: the recorder, and whether links are recorded, too.

use rainstand_traffic_recorder::{ConnectionRecorder, Recorder};
use std::rc::Rc;
use tokio::net::TcpStream;

/// A recording of the node's traffic.
pub struct TrafficRecording {
    /// Records client connections and, if included, links.
    pub recorder: Rc<Recorder>,
    /// Whether the links to the agent and to the downstream tier are recorded, too.
    pub(crate) includes_links: bool,
}

impl TrafficRecording {
    /// The recorder of a link that the node opened, if links are recorded.
    pub fn link(&self, stream: &TcpStream) -> Option<ConnectionRecorder> {
        let own = stream.local_addr().ok()?;
        let other = stream.peer_addr().ok()?;
        self.includes_links
            .then(|| self.recorder.connection(own, other))
    }
}
