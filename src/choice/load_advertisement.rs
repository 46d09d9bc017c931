//! What the node advertises to its callers: whether it is available.
//!
//! While the node is unhealthy or draining, its health checks fail, and answers carry the load signal
//! ([`LoadSignal`], if callers use one) that tells callers to send nothing; otherwise they carry the one that does not
//! limit callers. Both are sent when they change. The load itself is not advertised.
//!
//! Not in KIP-124.

use crate::host::{Host, LoadSignal};
use crate::options::AdvertiserOptions;

/// What was advertised last, and which load signal callers use.
#[derive(Default)]
pub struct LoadAdvertiser {
    pub(super) options: AdvertiserOptions,
    unavailable: bool,
}

impl LoadAdvertiser {
    /// An advertiser that has not sent anything yet.
    pub fn new(options: AdvertiserOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Whether the node is advertised as unavailable.
    pub(super) fn is_unavailable(&self) -> bool {
        self.unavailable
    }

    /// Advertises the node as unavailable or available, if that changed.
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
    /// The signal value of an unavailable or available node; `None` if callers use no signal.
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
