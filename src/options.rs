//! Settings of the components of an [`AdmissionController`](crate::AdmissionController).

use crate::host::LoadSignal;
use std::time::Duration;

/// A cold start: the node starts slowly and warms up at a constant rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// When the machine started its work, on the controller's clock.
    pub began: Duration,
    /// Speed at the start as a share of the full speed, 0 to 1.
    pub initial_speed: f64,
    /// Time from the start to full speed.
    pub warm_up: Duration,
}

/// This node's share of a downstream tier that the nodes of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DownstreamShare {
    /// Mean number of concurrent calls over `window` that this node may have there.
    pub concurrency: f64,
    /// Window of that mean.
    pub window: Duration,
    /// How long a cancelled call still occupies the tier.
    pub linger: Duration,
}

/// The callers of a node and their connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientConnections {
    /// Number of callers.
    pub callers: usize,
    /// How long a caller keeps an idle connection open.
    pub idle_timeout: Duration,
}

/// What a node may advertise to its callers, and how they react to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdvertiserOptions {
    /// How callers interpret the load value that answers carry.
    pub signal: LoadSignal,
    /// The longest retry-after that callers respect; zero if they cannot be asked to wait.
    pub max_retry_after: Duration,
    /// Requests that reach the machine later than this after a shutdown notice are rejected.
    pub drain_grace: Duration,
    /// Whether callers mark their retries.
    pub retries_marked: bool,
    /// The callers and their connections.
    pub clients: ClientConnections,
}
