//! The resource kinds that are handled alike.

/// Calls the macro `$apply` with one `Kind Message list` triple for each kind whose resources form one list of the
/// configuration, are identified by the message's `name`, and have neither pool nor rank.
macro_rules! for_each_plain_kind {
    ($apply:ident) => {
        $apply! {
            Type TrafficType types, Tenant Tenant tenants, Dependency Dependency dependencies,
            Limits Limits limits, Attempts Attempts attempts, Budget Budget budgets, Health Health health,
            RetryAfter RetryAfter retry_after, Recording Recording recordings, Log Log logs,
            Experiment Experiment experiments, Group Group groups, Rig Rig rigs, Control Control controls
        }
    };
}

pub(super) use for_each_plain_kind;
