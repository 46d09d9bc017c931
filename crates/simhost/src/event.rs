//! The messages that the simulator sends, and their names in the protocol.

/// The type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Message {
    /// Sets the clock.
    Clock,
    /// Ends a batch of events; the reply is due.
    EndOfBatch,
    /// A node starts.
    NodeStarted,
    /// A node stops immediately.
    NodeStopped,
    /// An event of a running node.
    Node(NodeEvent),
    /// A message of an unknown type.
    Unknown,
}

/// An event of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeEvent {
    /// The process will be killed.
    ShutdownNotice,
    /// The tick that was requested.
    Tick,
    /// A request was read.
    Arrival,
    /// An event of a request that may be in flight.
    Request(RequestEvent),
}

/// An event of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEvent {
    /// A run or a reply from the cache has ended.
    RunFinished,
    /// An attempt of a downstream call has ended.
    CallFinished,
    /// A run needs its downstream call.
    DownstreamCall,
    /// The caller has disconnected.
    CallerGone,
}

impl Message {
    /// The message type with this name in the protocol.
    pub(crate) fn from_name(name: &str) -> Self {
        match name {
            "clock" => Self::Clock,
            "go" => Self::EndOfBatch,
            "born" => Self::NodeStarted,
            "halt" => Self::NodeStopped,
            "quiesce" => Self::Node(NodeEvent::ShutdownNotice),
            "reminder" => Self::Node(NodeEvent::Tick),
            "ask" => Self::Node(NodeEvent::Arrival),
            "completed" => Self::request(RequestEvent::RunFinished),
            "callEnded" => Self::request(RequestEvent::CallFinished),
            "stalledOnCall" => Self::request(RequestEvent::DownstreamCall),
            "clientLeft" => Self::request(RequestEvent::CallerGone),
            _ => Self::Unknown,
        }
    }

    fn request(event: RequestEvent) -> Self {
        Self::Node(NodeEvent::Request(event))
    }
}
