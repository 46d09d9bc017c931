//! The state of downstream calls: their address, and how many are in flight. No I/O happens here:
//! [`crate::downstream`] makes the calls.

use crate::traffic_recording::TrafficRecording;
use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of concurrent calls, by the descriptors that are reserved for them.
pub const MAX_CALLS: usize = 192;

/// The state of the calls to the downstream server.
pub struct DownstreamPool {
    address: Cell<Option<SocketAddr>>,
    /// Number of calls in flight; each uses a descriptor.
    pub in_flight: Cell<usize>,
    /// The recording of calls, if they are recorded.
    pub recording: OnceCell<Rc<TrafficRecording>>,
}

/// A slot for one call in flight; released when it is dropped, however the call ends.
pub struct CallSlot<'a> {
    /// The address that is called.
    pub address: SocketAddr,
    in_flight: &'a Cell<usize>,
}

impl Drop for CallSlot<'_> {
    fn drop(&mut self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }
}

impl DownstreamPool {
    /// A pool without calls; a node of the last tier has no address to call.
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self {
            address: Cell::new(address),
            in_flight: Cell::new(0),
            recording: OnceCell::new(),
        }
    }

    /// Sets the address of future calls; calls in flight keep their connections.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.address.set(address);
    }

    /// A slot for one call; `None` without an address, or with [`MAX_CALLS`] in flight.
    pub fn acquire(&self) -> Option<CallSlot<'_>> {
        let address = self
            .address
            .get()
            .filter(|_| self.in_flight.get() < MAX_CALLS)?;
        self.in_flight.set(self.in_flight.get() + 1);
        let in_flight = &self.in_flight;
        Some(CallSlot { address, in_flight })
    }
}
