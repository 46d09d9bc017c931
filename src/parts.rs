//! What an [`AdmissionController`] is made of.

use crate::choice::{
    AdmissionController, ConcurrencyLimiter, DownstreamLimiter, LoadAdvertiser, TenantQuotas,
};
use crate::in_flight::InFlightRequests;

/// The parts of an [`AdmissionController`], each made from its own few settings.
pub struct Parts {
    /// What each tenant may spend and has spent.
    pub quotas: TenantQuotas,
    /// How many requests may run at once.
    pub limit: ConcurrencyLimiter,
    /// Requests in hand with their deadlines and memory.
    pub in_flight: InFlightRequests<AdmissionController>,
    /// The pace of calls to the tier below.
    pub downstream: DownstreamLimiter,
    /// What callers are told of the load.
    pub advertiser: LoadAdvertiser,
}
