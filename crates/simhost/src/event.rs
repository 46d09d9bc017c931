//! The simulator's messages, each under the field's term: the one place that knows the names of the protocol.

/// What a message is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Message {
    /// The clock moves.
    Clock,
    /// A batch of events is complete, and its answer is due.
    EndOfBatch,
    /// A node starts.
    NodeStarted,
    /// A node stops at once.
    NodeStopped,
    /// An event of a node that runs.
    Node(NodeEvent),
    /// Nothing that is known here.
    Unknown,
}

/// An event of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeEvent {
    /// The process will be stopped.
    ShutdownNotice,
    /// The tick that was asked for.
    Tick,
    /// A request was read.
    Arrival,
    /// An event of a request that may be in flight.
    Request(RequestEvent),
}

/// An event of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEvent {
    /// A run or a cached reply is over.
    RunFinished,
    /// An attempt of a downstream call is over.
    CallFinished,
    /// A run has come to a downstream call.
    DownstreamCall,
    /// The caller has left.
    CallerGone,
}

impl Message {
    /// The message of a name.
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
