//! Settings of the parts of an [`AdmissionController`](crate::AdmissionController), with named fields.

use crate::host::LoadSignal;
use std::time::Duration;

/// A cold start: the node begins slowly and warms up at a constant rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// When the machine's work began, on the clock that the controller is called with.
    pub began: Duration,
    /// Share of the full speed at the beginning, 0 to 1.
    pub initial_speed: f64,
    /// Time from the beginning to full speed.
    pub warm_up: Duration,
}

/// This node's part of a downstream tier that the nodes of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DownstreamShare {
    /// Calls at once that this node may hold there, in the mean over `window`.
    pub concurrency: f64,
    /// Window of that mean.
    pub window: Duration,
    /// How long a call that was cancelled still occupies the tier.
    pub linger: Duration,
}

/// The callers of a node and their connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientConnections {
    /// Number of callers.
    pub callers: usize,
    /// How long a caller keeps an unused connection.
    pub idle_timeout: Duration,
}

/// What a node advertises to its callers, and what they heed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdvertiserOptions {
    /// What callers make of the value that answers carry.
    pub signal: LoadSignal,
    /// The longest delay before a retry that callers heed; zero where none may be asked for.
    pub max_retry_after: Duration,
    /// Requests that reach the machine later than this after a shutdown notice are not run.
    pub drain_grace: Duration,
    /// Whether callers mark their retries as such.
    pub retries_marked: bool,
    /// The callers and their connections.
    pub clients: ClientConnections,
}
