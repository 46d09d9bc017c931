//! The kinds of blocks at the top of a file.

/// The kinds of blocks at the top of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Sort {
    Type,
    Tenant,
    Pool,
    Dependency,
    Limits,
    Attempts,
    Budget,
    Health,
    RetryAfter,
    Route,
    Recording,
    Log,
    Experiment,
    Group,
    Rig,
    Control,
}

impl Sort {
    pub const ALL: [Sort; 16] = [
        Sort::Type,
        Sort::Tenant,
        Sort::Pool,
        Sort::Dependency,
        Sort::Limits,
        Sort::Attempts,
        Sort::Budget,
        Sort::Health,
        Sort::RetryAfter,
        Sort::Route,
        Sort::Recording,
        Sort::Log,
        Sort::Experiment,
        Sort::Group,
        Sort::Rig,
        Sort::Control,
    ];

    /// As it is written.
    pub fn word(self) -> &'static str {
        match self {
            Sort::Type => "type",
            Sort::Tenant => "tenant",
            Sort::Pool => "pool",
            Sort::Dependency => "dependency",
            Sort::Limits => "limits",
            Sort::Attempts => "attempts",
            Sort::Budget => "budget",
            Sort::Health => "health",
            Sort::RetryAfter => "retry-after",
            Sort::Route => "route",
            Sort::Recording => "recording",
            Sort::Log => "log",
            Sort::Experiment => "experiment",
            Sort::Group => "group",
            Sort::Rig => "rig",
            Sort::Control => "control",
        }
    }

    pub fn is_policy(self) -> bool {
        matches!(
            self,
            Sort::Limits | Sort::Attempts | Sort::Budget | Sort::Health | Sort::RetryAfter
        )
    }

    pub(super) fn of(word: &str) -> Option<Sort> {
        Sort::ALL.into_iter().find(|sort| sort.word() == word)
    }
}
