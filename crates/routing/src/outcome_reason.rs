//! Why a request has its outcome, with the names used in JSON and metrics.

use crate::rate_limit::LimitScope;
use crate::retry::NoRetryReason;
use crate::router::RejectReason;

/// Why a request has its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutcomeReason {
    /// It was served.
    Done,
    /// Its caller disconnected.
    CallerLeft,
    /// The router rejected it: no route, no usable pool, no bucket, or a configured limit.
    Router(RejectReason),
    /// The pool's places are scarce, and the tenant has used its share.
    TenantOverShare,
    /// No member could take it.
    NoMember,
    /// Its key had another home recently, which may have run it.
    KeyHeld,
    /// No retry after a failure, a rejection or a lost connection.
    Stopped(NoRetryReason),
}

impl OutcomeReason {
    /// The name in JSON and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            OutcomeReason::Done => "done",
            OutcomeReason::CallerLeft => "caller_left",
            OutcomeReason::Router(RejectReason::NoRoute) => "no_route",
            OutcomeReason::Router(RejectReason::NoPool) => "no_pool",
            OutcomeReason::Router(RejectReason::NoBucket) => "no_bucket",
            OutcomeReason::Router(RejectReason::Limit(LimitScope::Type)) => "limit_of_type",
            OutcomeReason::Router(RejectReason::Limit(LimitScope::Tenant)) => "limit_of_tenant",
            OutcomeReason::Router(RejectReason::Limit(LimitScope::Route)) => "limit_of_route",
            OutcomeReason::Router(RejectReason::Limit(LimitScope::Pool)) => "limit_of_pool",
            OutcomeReason::TenantOverShare => "room_of_tenant",
            OutcomeReason::NoMember => "no_member",
            OutcomeReason::KeyHeld => "key_moved",
            OutcomeReason::Stopped(NoRetryReason::MayHaveRun) => "may_have_run",
            OutcomeReason::Stopped(NoRetryReason::NowhereElse) => "nowhere_else",
            OutcomeReason::Stopped(NoRetryReason::IsRetry) => "further_try",
            OutcomeReason::Stopped(NoRetryReason::AttemptsExhausted) => "tries",
            OutcomeReason::Stopped(NoRetryReason::BudgetExhausted) => "budget",
            OutcomeReason::Stopped(NoRetryReason::NoTimeLeft) => "time",
        }
    }
}
