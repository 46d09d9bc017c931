//! Requests in flight, from arrival to their single answer.
//!
//! Invariants: a request is in the table, and in its client's `open_requests`, exactly while it has no answer. Its
//! [`RequestState`] is taken out for the routing decision and stored again with the next step, so only one event
//! decides the outcome of an attempt; events for an earlier attempt are late and change nothing.

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

/// Limit on requests in flight, a few KB each; further requests are rejected immediately.
pub const MAX_IN_FLIGHT_REQUESTS: usize = 20_000;

/// An attempt of a request, or a wait between two attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// Id of the request.
    pub(crate) request: u64,
    /// Number of the attempt or wait, unique within this process.
    pub(crate) attempt: u64,
}

/// An attempt that was sent to a member.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) member: MemberRef,
    /// The configuration version that the indices in `member` refer to.
    pub(crate) version: u64,
    pub(crate) address: Rc<str>,
    /// Send time, on the context's clock.
    pub(crate) sent_at: Duration,
    /// The member is the home of the request's key, so a further attempt goes there, too.
    pub(crate) is_at_key_home: bool,
}

/// Whether a request is at a member.
#[derive(Clone, Debug)]
pub(crate) enum RequestPhase {
    /// Not sent to a member: before the first attempt, or during a backoff.
    Waiting,
    /// Sent to a member, or its outcome is not processed yet.
    AtMember(InFlightAttempt),
}

/// A request without an answer yet.
pub(crate) struct InFlightRequest {
    client: Rc<ClientConnection>,
    /// The client's sequence number of the call.
    sequence_number: i32,
    /// The call's encoded arguments, to be forwarded.
    pub(crate) call_arguments: Box<[u8]>,
    /// `None` while an event of the request is processed.
    state: Option<RequestState>,
    /// Number of the current attempt or wait; events for any other are late.
    current_attempt: u64,
    phase: RequestPhase,
    /// Attempts that timed out and go on at their member, as many as the retry policy allows.
    continued_attempts: Vec<AttemptId>,
}

/// Requests in flight by id, and their timers.
#[derive(Default)]
pub struct RequestTable {
    by_id: RefCell<HashMap<u64, InFlightRequest>>,
    /// Notified when a request is added to the empty table.
    became_nonempty: Notify,
    timers: AttemptTimers,
}

impl RequestTable {
    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Whether no request is in flight.
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
            continued_attempts: Vec::new(),
        };
        let mut requests = self.by_id.borrow_mut();
        if requests.is_empty() {
            self.became_nonempty.notify_one();
        }
        requests.insert(request_id, request);
    }

    /// Completes when a request is added to the empty table.
    pub(crate) async fn became_nonempty(&self) {
        self.became_nonempty.notified().await;
    }

    fn remove(&self, request_id: u64) -> Option<InFlightRequest> {
        self.by_id.borrow_mut().remove(&request_id)
    }

    /// Begins an attempt or a wait, and stores the request's state again.
    fn begin(&self, id: AttemptId, state: RequestState, phase: RequestPhase) {
        if let Some(request) = self.by_id.borrow_mut().get_mut(&id.request) {
            request.state = Some(state);
            request.current_attempt = id.attempt;
            request.phase = phase;
        }
    }

    /// Records that an attempt that timed out goes on at its member. Returns whether its request is still in flight.
    fn continue_attempt(&self, id: AttemptId) -> bool {
        let mut requests = self.by_id.borrow_mut();
        let Some(request) = requests.get_mut(&id.request) else {
            return false;
        };
        request.continued_attempts.push(id);
        true
    }

    /// Takes the state out of a request that is still at this attempt; the holder of the state decides the next step.
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

    /// The phase of a request that is still at this attempt.
    fn phase(&self, id: AttemptId) -> Option<RequestPhase> {
        let requests = self.by_id.borrow();
        let request = requests.get(&id.request)?;
        (request.current_attempt == id.attempt).then(|| request.phase.clone())
    }

    /// Calls `read` with a request if it is in flight.
    pub(crate) fn with_request<T>(
        &self,
        request_id: u64,
        read: impl FnOnce(&InFlightRequest) -> T,
    ) -> Option<T> {
        self.by_id.borrow().get(&request_id).map(read)
    }

    /// Schedules a timer, which [`run_timers`] fires after this time; it has no effect if the attempt has ended by then.
    fn schedule(&self, after: Duration, id: AttemptId) {
        let requests = self.by_id.borrow();
        self.timers.schedule(after, id, &requests);
    }
}
