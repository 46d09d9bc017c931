//! The keys of the settings format, as constants with the names used in the code. Other modules use these constants.

/// List of the request classes.
pub(crate) const REQUEST_CLASSES: &str = "requestClasses";
/// List of the tenants.
pub(crate) const TENANTS: &str = "parties";
/// Name of a request class or tenant.
pub(crate) const NAME: &str = "name";
/// Number of servers of the fleet.
pub(crate) const SERVERS: &str = "groupSize";
/// Whether value is counted per request or per unit of work.
pub(crate) const VALUE_COUNTED_BY: &str = "countedBy";
/// The value of [`VALUE_COUNTED_BY`] for counting per unit of work.
pub(crate) const BY_WORK: &str = "work";

/// Fields of a request class.
pub(crate) mod class {
    pub(crate) const LATENCY_OBJECTIVE: &str = "aimS";
    pub(crate) const DEADLINE: &str = "deadlineS";
    pub(crate) const VALUE: &str = "value";
    pub(crate) const LATE_SHARE: &str = "lateWorth";
    pub(crate) const REPEATABILITY: &str = "effect";
    pub(crate) const KEY_WINDOW: &str = "windowS";
}

/// Fields of a tenant.
pub(crate) mod tenant {
    pub(crate) const QUOTA: &str = "quotaRps";
}

/// Object that describes the type of machine and its environment.
pub(crate) const MACHINE: &str = "familyInfo";

/// Fields of [`MACHINE`].
pub(crate) mod machine {
    pub(crate) const CORES: &str = "cores";
    pub(crate) const MEMORY: &str = "ramKb";
    pub(crate) const RUN_MEMORY_FACTOR: &str = "runMemFactor";
    pub(crate) const CACHED_RESULT_MEMORY: &str = "entryKb";
    pub(crate) const MAX_RESULT_AGE: &str = "freshS";
    pub(crate) const IS_COLD: &str = "cold";
    pub(crate) const GAUGES: &str = "gauges";
    /// How runs can be cancelled.
    pub(crate) const CANCELLATION: &str = "halt";
    pub(crate) const REGISTRY_FOLLOWS_HEALTH: &str = "readiness";
    pub(crate) const LOAD_SIGNAL: &str = "say";
    pub(crate) const CALLERS: &str = "callers";
    pub(crate) const IDLE_TIMEOUT: &str = "idleS";
    /// List by request class: whether it makes downstream calls.
    pub(crate) const CLASS_CALLS: &str = "classCalls";
    /// List by request class: the share of its value that an answer without the downstream call has.
    pub(crate) const CLASS_DEGRADED_SHARES: &str = "classSkipWorth";
    /// Whether other nodes use the downstream tier.
    pub(crate) const DOWNSTREAM: &str = "below";
    /// The value of [`DOWNSTREAM`] for a tier that the nodes of a fleet share.
    pub(crate) const DOWNSTREAM_SHARED: &str = "shared";
    pub(crate) const SHARE_CONCURRENCY: &str = "callShare";
    pub(crate) const SHARE_WINDOW: &str = "callsOverS";
    pub(crate) const SHARE_LINGER: &str = "lingersS";
}

/// Object with the conditions that the node must withstand.
pub(crate) const BOUNDS: &str = "obligations";

/// Fields of [`BOUNDS`].
pub(crate) mod bounds {
    pub(crate) const OVERLOAD_FACTOR: &str = "overloadFactor";
    pub(crate) const DRAIN_GRACE: &str = "drainGraceS";
    pub(crate) const COLD_SPEED: &str = "coldShare";
    pub(crate) const WARM_UP: &str = "rampTimeS";
}

/// Object that states what callers may be asked to do.
pub(crate) const PERMISSIONS: &str = "permissions";

/// Fields of [`PERMISSIONS`].
pub(crate) mod permissions {
    pub(crate) const RETRY_AFTER: &str = "retryAfter";
    pub(crate) const MAX_RETRY_AFTER: &str = "maxRetryAfterS";
}

/// Object that describes the callers.
pub(crate) const CLIENTS: &str = "clients";

/// Fields of [`CLIENTS`].
pub(crate) mod clients {
    pub(crate) const MARK_RETRIES: &str = "marksRetry";
}
