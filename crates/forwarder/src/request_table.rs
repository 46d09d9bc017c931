//! Requests in flight, from their arrival to their one answer.
//!
//! Invariants: a request is in the table exactly as long as it has no answer, and then also in its client's
//! `open_requests`. Its [`RequestState`] is taken out to be handed to the decisions
//! and comes back with the next step, so only one event decides about an attempt; what comes for an earlier attempt
//! is late and changes nothing.

mod lifecycle;
mod timers;

pub(crate) use lifecycle::OutcomeReceipt;
pub(crate) use timers::run_timers;

use crate::listener::ClientConnection;
use foldhash::HashMap;
use rainstand_routing::fleet::{MemberRef, RequestState};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use timers::AttemptTimers;
use tokio::sync::Notify;

/// Requests in flight, some KB each; past it a request is rejected at once.
pub const MAX_IN_FLIGHT_REQUESTS: usize = 20_000;

/// An attempt of a request, or a wait between two of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// The request.
    pub(crate) request: u64,
    /// The attempt or wait; no other of this process has the same number.
    pub(crate) attempt: u64,
}

/// An attempt that is at a member.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) member: MemberRef,
    /// The version whose indices `member` has.
    pub(crate) version: u64,
    pub(crate) address: Rc<str>,
    /// When it was sent, by the context's clock.
    pub(crate) sent_at: Duration,
}

/// Where a request is.
#[derive(Clone, Debug)]
pub(crate) enum RequestPhase {
    /// At no member: before its first attempt, or during a backoff.
    Waiting,
    /// At a member, or back from it and not decided about.
    AtMember(InFlightAttempt),
}

/// A request without an answer yet.
pub(crate) struct InFlightRequest {
    client: Rc<ClientConnection>,
    /// The client's number of the call.
    sequence_number: i32,
    /// The call's arguments as they were read, to be forwarded.
    pub(crate) call_arguments: Box<[u8]>,
    /// Absent while an event is decided about.
    state: Option<RequestState>,
    /// The current attempt or wait; what comes for another is late.
    current_attempt: u64,
    phase: RequestPhase,
}

/// Requests in flight by their id, and when each must be looked at.
#[derive(Default)]
pub struct RequestTable {
    by_id: RefCell<HashMap<u64, InFlightRequest>>,
    /// The first request came in flight.
    filled: Notify,
    timers: AttemptTimers,
}

impl RequestTable {
    /// How many are in flight.
    pub fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.by_id.borrow().is_empty()
    }

    fn ids(&self) -> Vec<u64> {
        self.by_id.borrow().keys().copied().collect()
    }

    fn insert(
        &self,
        request_id: u64,
        client: Rc<ClientConnection>,
        sequence_number: i32,
        call_arguments: &[u8],
    ) {
        let request = InFlightRequest {
            client,
            sequence_number,
            call_arguments: call_arguments.into(),
            state: None,
            current_attempt: 0,
            phase: RequestPhase::Waiting,
        };
        let mut requests = self.by_id.borrow_mut();
        if requests.is_empty() {
            self.filled.notify_one();
        }
        requests.insert(request_id, request);
    }

    /// Completes when a request came in flight and there was none.
    pub(crate) async fn filled(&self) {
        self.filled.notified().await;
    }

    fn remove(&self, request_id: u64) -> Option<InFlightRequest> {
        self.by_id.borrow_mut().remove(&request_id)
    }

    /// Begins an attempt or a wait, and gives the request's state back.
    fn begin(&self, id: AttemptId, state: RequestState, phase: RequestPhase) {
        if let Some(request) = self.by_id.borrow_mut().get_mut(&id.request) {
            request.state = Some(state);
            request.current_attempt = id.attempt;
            request.phase = phase;
        }
    }

    /// Takes the state of a request out if it is still at this attempt; whoever has it decides about the next step.
    fn claim(&self, id: AttemptId) -> Option<RequestState> {
        let mut requests = self.by_id.borrow_mut();
        let request = requests
            .get_mut(&id.request)
            .filter(|request| request.current_attempt == id.attempt)?;
        request.state.take()
    }

    /// The current attempt or wait of a request.
    fn current_attempt(&self, request_id: u64) -> Option<AttemptId> {
        let requests = self.by_id.borrow();
        requests.get(&request_id).map(|request| AttemptId {
            request: request_id,
            attempt: request.current_attempt,
        })
    }

    /// Where a request is, if it is still at this attempt.
    fn phase(&self, id: AttemptId) -> Option<RequestPhase> {
        let requests = self.by_id.borrow();
        let request = requests.get(&id.request)?;
        (request.current_attempt == id.attempt).then(|| request.phase.clone())
    }

    /// Reads a request that is in flight.
    pub(crate) fn with_request<T>(
        &self,
        request_id: u64,
        read: impl FnOnce(&InFlightRequest) -> T,
    ) -> Option<T> {
        self.by_id.borrow().get(&request_id).map(read)
    }

    /// Has [`run_timers`] look at a request after this time, if it is still at this attempt then.
    fn schedule(&self, after: Duration, id: AttemptId) {
        let requests = self.by_id.borrow();
        self.timers.schedule(after, id, &requests);
    }
}
