//! The errors of installing or updating a configuration.

/// Why a configuration that arrived as a message is invalid. One that passed the configuration checker is valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// More entries of a kind than an index can address.
    #[error("more than {max} entries of kind {kind}")]
    TooManyEntries {
        /// The maximum number of entries.
        max: usize,
        /// The kind of entry.
        kind: &'static str,
    },
    /// Two entries of a kind have the same name.
    #[error("{kind} `{name}` is defined twice")]
    DuplicateName {
        /// The kind of entry.
        kind: &'static str,
        /// Their name.
        name: String,
    },
    /// Two names have the same hash: expected in one of 10^9 configurations of the maximum size.
    #[error("{kind} `{name}` has the same name hash as `{other}`; rename one of them")]
    HashCollision {
        /// The kind of entry.
        kind: &'static str,
        /// The name of the later one.
        name: String,
        /// The name of the earlier one.
        other: String,
    },
    /// A reference to an entry that does not exist.
    #[error("there is no {kind} `{name}`")]
    NotFound {
        /// The kind of entry.
        kind: &'static str,
        /// The name referred to.
        name: String,
    },
    /// The rows of match bits, one bit per route in a row per request class, would take too much memory.
    #[error("the match rows of all routes and types would take more than {max_bytes} bytes")]
    TableTooLarge {
        /// Their maximum size.
        max_bytes: usize,
    },
    /// The fallbacks of pools form a cycle.
    #[error("the fallbacks of pool `{pool}` form a cycle")]
    FallbackCycle {
        /// A pool of the cycle, or one that leads to it.
        pool: String,
    },
    /// A share of a route's split is 0 or over 100 %.
    #[error("route `{route}`: invalid share of {share} millionths")]
    InvalidShare {
        /// The route.
        route: String,
        /// The share, in millionths.
        share: u64,
    },
    /// The shares of a route's split do not add up to 100 %.
    #[error("route `{route}`: the shares do not add up to 100 %")]
    IncompleteShares {
        /// The route.
        route: String,
    },
    /// Two changes of one update concern the same entry.
    #[error("{kind} `{name}` is changed twice in one update")]
    ChangedTwice {
        /// The kind of entry.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// An entry cannot be removed while another refers to it.
    #[error("{kind} `{name}` cannot be removed: another entry refers to it")]
    StillReferenced {
        /// The kind of entry.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// A route is to be placed before itself.
    #[error("route `{route}` cannot be placed before itself")]
    BeforeItself {
        /// The route.
        route: String,
    },
    /// Too many versions still have requests in flight.
    #[error(
        "{max} versions still have requests in flight; retry after some of them have completed"
    )]
    TooManyVersions {
        /// The maximum number of versions.
        max: usize,
    },
}
