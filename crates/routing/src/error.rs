//! Why a configuration, or a change of one, cannot be used.

/// Why a configuration that comes as a message cannot be used. One that came through the checker can.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// More entries of a kind than an index can address.
    #[error("more than {max} of {kind}")]
    TooManyEntries {
        /// How many there may be.
        max: usize,
        /// The kind of entry.
        kind: &'static str,
    },
    /// Two entries of a kind have the same name.
    #[error("{kind} `{name}` is there twice")]
    DuplicateName {
        /// The kind of entry.
        kind: &'static str,
        /// Their name.
        name: String,
    },
    /// Two names have the same hash: one in a thousand million configurations of the largest size.
    #[error("{kind} `{name}` has the hash of `{other}`; give it another name")]
    HashCollision {
        /// The kind of entry.
        kind: &'static str,
        /// The name of the later one.
        name: String,
        /// The name of the one that has the hash already.
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
    /// The match rows of so many routes for so many request classes would take too much memory.
    #[error("routes by types would take over {max_bytes} bytes")]
    TableTooLarge {
        /// How much they may take.
        max_bytes: usize,
    },
    /// The fallbacks of pools form a cycle.
    #[error("pool `{pool}` falls back in a ring")]
    FallbackCycle {
        /// A pool of the cycle, or one that leads to it.
        pool: String,
    },
    /// A share of a route's split is 0 or over 100 %.
    #[error("route `{route}`: a share of {share}")]
    InvalidShare {
        /// The route.
        route: String,
        /// The share, in millionths.
        share: u64,
    },
    /// The shares of a route's split do not add up.
    #[error("route `{route}`: its shares are not 100 %")]
    IncompleteShares {
        /// The route.
        route: String,
    },
    /// One update names an entry twice.
    #[error("{kind} `{name}` is named twice in one change")]
    ChangedTwice {
        /// The kind of entry.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// An entry cannot be removed while another refers to it.
    #[error("{kind} `{name}` cannot go: something refers to it")]
    StillReferenced {
        /// The kind of entry.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// A route is to be placed before itself.
    #[error("route `{route}` cannot stand before itself")]
    BeforeItself {
        /// The route.
        route: String,
    },
    /// Too many versions still have requests.
    #[error("{max} versions still have tickets; try again when some ended")]
    TooManyVersions {
        /// How many there may be.
        max: usize,
    },
}
