//! The state of the calls to the tier below: where they go, and how many are out. No I/O happens here:
//! [`crate::downstream`] makes the calls.

use crate::traffic_recording::TrafficRecording;
use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Calls that may be out at once, by the descriptors that are reserved for them.
pub const MAX_CALLS: usize = 192;

/// The calls to the tier below.
pub struct DownstreamPool {
    address: Cell<Option<SocketAddr>>,
    /// Calls that are out, each with its descriptor.
    pub out: Cell<usize>,
    /// Where calls are recorded, if they are.
    pub record: OnceCell<Rc<TrafficRecording>>,
}

/// One call that is out; given back when it is dropped, however the call ends.
pub struct CallSlot<'a> {
    /// Where the call goes.
    pub address: SocketAddr,
    out: &'a Cell<usize>,
}

impl Drop for CallSlot<'_> {
    fn drop(&mut self) {
        self.out.set(self.out.get() - 1);
    }
}

impl DownstreamPool {
    /// No calls yet; the last tier has no address to call.
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self {
            address: Cell::new(address),
            out: Cell::new(0),
            record: OnceCell::new(),
        }
    }

    /// From now on calls go there; those that are out end where they are.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        self.address.set(address);
    }

    /// A slot for one call; None without an address, or with [`MAX_CALLS`] out.
    pub fn acquire(&self) -> Option<CallSlot<'_>> {
        let address = self.address.get().filter(|_| self.out.get() < MAX_CALLS)?;
        self.out.set(self.out.get() + 1);
        let out = &self.out;
        Some(CallSlot { address, out })
    }
}
