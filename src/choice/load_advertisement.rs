//! What the node advertises to its callers: whether they are to keep away.
//!
//! While the node is unhealthy or draining its health checks fail, and where callers heed a value that answers
//! carry ([`LoadSignal`]), it is the one that keeps all of them away; else the one that keeps none away. Both are
//! sent when they change. The load itself is not advertised.
//!
//! Not in KIP-124.

use crate::host::{Host, LoadSignal};
use crate::options::AdvertiserOptions;

/// What callers were told last, and what they heed.
#[derive(Default)]
pub struct LoadAdvertiser {
    pub(super) options: AdvertiserOptions,
    unavailable: bool,
}

impl LoadAdvertiser {
    /// An advertiser that has sent nothing yet.
    pub fn new(options: AdvertiserOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Whether callers are asked to keep away.
    pub(super) fn is_unavailable(&self) -> bool {
        self.unavailable
    }

    /// Asks callers to keep away, or to come again.
    pub(super) fn set_unavailable(&mut self, host: &mut dyn Host, unavailable: bool) {
        if std::mem::replace(&mut self.unavailable, unavailable) == unavailable {
            return;
        }
        host.set_health(!unavailable);
        if let Some(value) = self.options.signal.value_for(unavailable) {
            host.advertise_load(value);
        }
    }
}

impl LoadSignal {
    /// The value that keeps all callers away, or none of them.
    pub fn value_for(self, unavailable: bool) -> Option<f64> {
        match self {
            Self::Nothing => None,
            Self::Level => Some(if unavailable { 1.0 } else { 0.0 }),
            Self::Weight => Some(if unavailable { 0.0 } else { 1.0 }),
            Self::Credit => Some(if unavailable {
                0.0
            } else {
                f64::from(u32::MAX)
            }),
        }
    }
}
