//! The steps of a request: events are passed to [`Fleet`], and the actions that it decides on are executed.
//!
//! | event | source | next step |
//! | --- | --- | --- |
//! | [`on_request`](ForwarderContext::on_request) | a client's call | an attempt, or the rejection |
//! | [`on_attempt_outcome`](ForwarderContext::on_attempt_outcome) | a connection to a member | a retry, a backoff, or the answer |
//! | [`on_served`](ForwarderContext::on_served) | a member's result | the answer |
//! | `on_timer` | an attempt's timeout, or the end of a backoff | same as for an attempt outcome |
//! | [`on_caller_gone`](ForwarderContext::on_caller_gone) | the client cancelled, or its connection ended | the attempt is cancelled |
//!
//! [`Fleet`]: rainstand_routing::fleet::Fleet

use super::{AttemptId, InFlightAttempt, RequestPhase, MAX_IN_FLIGHT_REQUESTS};
use crate::listener::ClientConnection;
use crate::observability::increment;
use crate::upstream::{self, OutgoingAttempt, TimedOutAttempt};
use crate::{ForwarderContext, RequestError};
use rainstand_protocol::thrift::{self, ProcessArgs};
use rainstand_routing::fleet::{
    Attempt, AttemptOutcome, Completed, Fleet, NextAction, RequestOutcome, RequestState,
};
use rainstand_routing::member_selection::SelectionReason;
use rainstand_routing::table::Request;
use rainstand_routing::weighted_split::name_hash;
use std::rc::Rc;
use std::time::Duration;

/// Retry-after of requests that arrive while [`MAX_IN_FLIGHT_REQUESTS`] are in flight or while the forwarder drains.
/// It is sent without a routing decision and without jitter; for the retry-after of routing decisions, see
/// [`rainstand_routing::retry_after`].
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Whether an attempt outcome took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutcomeReceipt {
    /// It determined the request's next step.
    Accepted,
    /// The request is already answered or at another attempt; the outcome has no effect.
    Late,
}

/// The answer that is still to be sent when a request completes.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// The member's answer was already forwarded, or the caller is gone.
    None,
    Rejected {
        retry_after: Duration,
        nowhere_else: bool,
    },
    Failed,
}

impl Reply {
    fn from_outcome(outcome: RequestOutcome) -> Self {
        match outcome {
            RequestOutcome::Served | RequestOutcome::CallerGone => Reply::None,
            RequestOutcome::Rejected {
                after,
                nowhere_else,
            } => Reply::Rejected {
                retry_after: after,
                nowhere_else,
            },
            RequestOutcome::Failed => Reply::Failed,
        }
    }

    fn frame(self, sequence_number: i32) -> Option<Vec<u8>> {
        match self {
            Reply::None => None,
            Reply::Rejected {
                retry_after,
                nowhere_else,
            } => Some(rejection_frame(sequence_number, retry_after, nowhere_else)),
            Reply::Failed => Some(thrift::lost(sequence_number)),
        }
    }
}

/// The frame of a rejection; `nowhere_else`: retrying at another forwarder would not help either.
fn rejection_frame(sequence_number: i32, retry_after: Duration, nowhere_else: bool) -> Vec<u8> {
    let retry_after_ms = retry_after.as_millis().to_string();
    let mut fields = vec![("pause", retry_after_ms.as_str())];
    fields.extend(nowhere_else.then_some(("terminal", "1")));
    thrift::backoff(sequence_number, &fields)
}

/// Asks the routing for the first step of a call.
fn decide_arrival(
    fleet: &mut Fleet,
    now: Duration,
    fields: &[(&[u8], &[u8])],
    body_bytes: u64,
) -> Result<NextAction, RequestError> {
    let field = |key: &str| {
        let value = fields
            .iter()
            .find(|(name, _)| *name == key.as_bytes())
            .map(|(_, value)| *value);
        value
            .map(std::str::from_utf8)
            .transpose()
            .map_err(|_| RequestError::FieldNotText)
    };
    let request_class = field("route")?
        .and_then(|name| fleet.table().request_class(name))
        .ok_or(RequestError::UnknownRequestClass)?;
    let customer = field("customer")?.unwrap_or("");
    let tenant = fleet.table().tenant(customer);
    let tenant_hash = match tenant {
        Some(_) => 0,
        None => name_hash(customer),
    };
    let entity = field("entity")?.unwrap_or("");
    let request = Request {
        request_class,
        tenant,
        tenant_hash,
        entity,
        // As a node names the key of a request.
        key: field("nonce")?.unwrap_or(entity),
        is_retry: field("redo")? == Some("1"),
        size: body_bytes,
    };
    Ok(fleet.on_arrival(now, &request))
}

impl ForwarderContext {
    /// Handles a new request: it is rejected immediately, or its first attempt is sent.
    ///
    /// # Errors
    /// If the call is malformed; no answer has been sent then.
    pub(crate) fn on_request(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        sequence_number: i32,
        call_arguments: &[u8],
    ) -> Result<(), RequestError> {
        let ProcessArgs { fields, body } =
            thrift::process_args(call_arguments).map_err(RequestError::Unreadable)?;
        if self.drain.is_draining() || self.requests.len() >= MAX_IN_FLIGHT_REQUESTS {
            increment(&self.counters.overload_rejections);
            client.send_answer(&rejection_frame(
                sequence_number,
                OVERLOAD_RETRY_AFTER,
                false,
            ));
            return Ok(());
        }
        let fields = fields.unwrap_or_default();
        let body_bytes = body.unwrap_or_default().len() as u64;
        let now = self.now();
        let action = decide_arrival(&mut self.fleet.borrow_mut(), now, &fields, body_bytes)?;
        let request_id = self.next_id();
        self.requests
            .insert(request_id, client.clone(), sequence_number, call_arguments);
        client
            .open_requests
            .borrow_mut()
            .insert(sequence_number, request_id);
        self.execute(request_id, action);
        Ok(())
    }

    /// Executes the next step of a request.
    fn execute(self: &Rc<Self>, request_id: u64, action: NextAction) {
        match action {
            NextAction::Dispatch(state, attempt) => self.dispatch(request_id, state, attempt),
            NextAction::Backoff(state, wait) => self.back_off(request_id, state, wait),
            NextAction::Completed(completed) => self.complete(request_id, &completed),
        }
    }

    fn dispatch(self: &Rc<Self>, request_id: u64, state: RequestState, attempt: Attempt) {
        let id = AttemptId {
            request: request_id,
            attempt: self.next_id(),
        };
        let (address, version) = {
            let fleet = self.fleet.borrow();
            (fleet.address(attempt.to).clone(), fleet.version())
        };
        let in_flight = InFlightAttempt {
            member: attempt.to,
            version,
            address: address.clone(),
            sent_at: self.now(),
            is_at_key_home: attempt.selected_by == SelectionReason::KeyHome,
        };
        self.requests
            .begin(id, state, RequestPhase::AtMember(in_flight));
        self.requests.schedule(attempt.timeout, id);
        let outgoing = OutgoingAttempt {
            id,
            is_retry: attempt.is_retry,
            attempt_number: attempt.attempt_number,
            is_at_key_home: attempt.selected_by == SelectionReason::KeyHome,
        };
        upstream::send_attempt(self, &address, outgoing);
    }

    fn back_off(&self, request_id: u64, state: RequestState, wait: Duration) {
        let id = AttemptId {
            request: request_id,
            attempt: self.next_id(),
        };
        self.requests.begin(id, state, RequestPhase::Waiting);
        self.requests.schedule(wait, id);
    }

    fn complete(&self, request_id: u64, completed: &Completed) {
        self.metrics.record_request(completed, &self.fleet.borrow());
        self.answer(request_id, Reply::from_outcome(completed.outcome));
    }

    /// Removes a request and sends the answer that is still missing.
    fn answer(&self, request_id: u64, reply: Reply) {
        let Some(request) = self.requests.remove(request_id) else {
            return;
        };
        let sequence_number = request.sequence_number;
        for id in request.continued_attempts {
            upstream::cancel_anywhere(self, id);
        }
        request
            .client
            .open_requests
            .borrow_mut()
            .remove(&sequence_number);
        if let Some(frame) = reply.frame(sequence_number) {
            request.client.send_answer(&frame);
        }
    }

    /// Answers all requests in flight as failed, at the end of a drain.
    pub(crate) fn fail_all_in_flight(&self) {
        for request_id in self.requests.ids() {
            let id = self.requests.current_attempt(request_id);
            let Some(state) = id.and_then(|id| self.requests.claim(id)) else {
                continue;
            };
            let completed = self.fleet.borrow_mut().on_drain_ended(self.now(), state);
            self.complete(request_id, &completed);
        }
    }

    /// Handles the timeout of an attempt or the end of a backoff.
    pub(super) fn on_timer(self: &Rc<Self>, id: AttemptId) {
        match self.requests.phase(id) {
            None => {}
            Some(RequestPhase::AtMember(attempt)) => {
                let receipt = self.on_attempt_outcome(id, AttemptOutcome::TimedOut);
                if receipt == OutcomeReceipt::Accepted {
                    let follow_up = self.follow_up(id, &attempt);
                    upstream::on_timed_out(self, &attempt.address, id, attempt.sent_at, follow_up);
                }
            }
            Some(RequestPhase::Waiting) => {
                if let Some(state) = self.requests.claim(id) {
                    let action = self.fleet.borrow_mut().on_retry_due(self.now(), state);
                    self.execute(id.request, action);
                }
            }
        }
    }

    /// Whether an attempt that timed out goes on at its member. It does if the request is retried there: the retry gets
    /// the result of the run that the attempt started.
    fn follow_up(&self, id: AttemptId, attempt: &InFlightAttempt) -> TimedOutAttempt {
        if attempt.is_at_key_home && self.requests.continue_attempt(id) {
            TimedOutAttempt::Continued
        } else {
            TimedOutAttempt::Cancelled
        }
    }

    /// Handles the end of an attempt that has no result.
    pub(crate) fn on_attempt_outcome(
        self: &Rc<Self>,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) -> OutcomeReceipt {
        let Some(state) = self.requests.claim(id) else {
            return OutcomeReceipt::Late;
        };
        let action = self.decide_outcome(id, state, outcome);
        self.execute(id.request, action);
        OutcomeReceipt::Accepted
    }

    /// Handles the result of an attempt: it is forwarded unchanged, with the client's sequence number.
    pub(crate) fn on_served(self: &Rc<Self>, id: AttemptId, body: &[u8]) -> OutcomeReceipt {
        let Some(state) = self.requests.claim(id) else {
            return OutcomeReceipt::Late;
        };
        self.requests.with_request(id.request, |request| {
            let frame = thrift::answer(b"process", request.sequence_number, body, true);
            request.client.send_answer(&frame);
        });
        let action = self.decide_outcome(id, state, AttemptOutcome::Served);
        self.execute(id.request, action);
        OutcomeReceipt::Accepted
    }

    /// Records an outcome in the metrics and asks the routing for the next step.
    fn decide_outcome(
        &self,
        id: AttemptId,
        state: RequestState,
        outcome: AttemptOutcome,
    ) -> NextAction {
        let now = self.now();
        if let Some(RequestPhase::AtMember(attempt)) = self.requests.phase(id) {
            let elapsed = now.saturating_sub(attempt.sent_at);
            self.metrics
                .record_attempt(attempt.member, attempt.version, outcome, elapsed);
        }
        self.fleet
            .borrow_mut()
            .on_attempt_outcome(now, state, outcome)
    }

    /// Handles a cancellation by the client, or the end of its connection.
    pub(crate) fn on_caller_gone(self: &Rc<Self>, request_id: u64) {
        let Some(id) = self.requests.current_attempt(request_id) else {
            return;
        };
        if self.on_attempt_outcome(id, AttemptOutcome::CallerLeft) == OutcomeReceipt::Accepted {
            upstream::cancel_anywhere(self, id);
        }
    }
}
