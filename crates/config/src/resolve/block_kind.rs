//! The kinds of blocks at the top of a file.

/// A kind of block at the top of a file; each has a list of its own in the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BlockKind {
    /// A traffic type (request class).
    Type,
    /// A tenant.
    Tenant,
    /// A pool with its members.
    Pool,
    /// A downstream service that nodes call.
    Dependency,
    /// A policy: rate and concurrency limits.
    Limits,
    /// A policy: how often a request is tried.
    Attempts,
    /// A policy: parts of the time that a request has.
    Budget,
    /// A policy: when members are ejected and come back.
    Health,
    /// A policy: bounds of the wait that rejected callers get.
    RetryAfter,
    /// A route.
    Route,
    /// Where traffic is recorded.
    Recording,
    /// The form of log lines.
    Log,
    /// An experiment of the fleet model.
    Experiment,
    /// A group of replicated nodes.
    Group,
    /// A run of the testbed.
    Rig,
    /// The machines that distribute configurations.
    Control,
}

impl BlockKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [BlockKind; 16] = [
        BlockKind::Type,
        BlockKind::Tenant,
        BlockKind::Pool,
        BlockKind::Dependency,
        BlockKind::Limits,
        BlockKind::Attempts,
        BlockKind::Budget,
        BlockKind::Health,
        BlockKind::RetryAfter,
        BlockKind::Route,
        BlockKind::Recording,
        BlockKind::Log,
        BlockKind::Experiment,
        BlockKind::Group,
        BlockKind::Rig,
        BlockKind::Control,
    ];

    /// The word that its blocks begin with.
    pub fn word(self) -> &'static str {
        match self {
            BlockKind::Type => "type",
            BlockKind::Tenant => "tenant",
            BlockKind::Pool => "pool",
            BlockKind::Dependency => "dependency",
            BlockKind::Limits => "limits",
            BlockKind::Attempts => "attempts",
            BlockKind::Budget => "budget",
            BlockKind::Health => "health",
            BlockKind::RetryAfter => "retry-after",
            BlockKind::Route => "route",
            BlockKind::Recording => "recording",
            BlockKind::Log => "log",
            BlockKind::Experiment => "experiment",
            BlockKind::Group => "group",
            BlockKind::Rig => "rig",
            BlockKind::Control => "control",
        }
    }

    /// Whether its blocks may be built on another of the kind.
    pub fn is_policy(self) -> bool {
        matches!(
            self,
            BlockKind::Limits
                | BlockKind::Attempts
                | BlockKind::Budget
                | BlockKind::Health
                | BlockKind::RetryAfter
        )
    }

    pub(super) fn from_word(word: &str) -> Option<BlockKind> {
        BlockKind::ALL.into_iter().find(|kind| kind.word() == word)
    }
}
