//! The steps of a request's life: what the decisions of [`Fleet`] order is carried out, and each event
//! is handed to them.
//!
//! | event | from | next |
//! | --- | --- | --- |
//! | [`on_request`](ForwarderContext::on_request) | a client's call was read | an attempt, or the rejection |
//! | [`on_attempt_outcome`](ForwarderContext::on_attempt_outcome) | a connection to a member | a retry, a backoff, or the answer |
//! | [`on_served`](ForwarderContext::on_served) | a member's result | the answer |
//! | `on_timer` | an attempt's timeout, or the end of a backoff | as for an outcome |
//! | [`on_caller_gone`](ForwarderContext::on_caller_gone) | the client cancelled, or its connection ended | the member is notified |
//!
//! [`Fleet`]: rainstand_routing::fleet::Fleet

use super::{AttemptId, InFlightAttempt, RequestPhase, MAX_IN_FLIGHT_REQUESTS};
use crate::listener::ClientConnection;
use crate::observability::increment;
use crate::upstream::{self, OutgoingAttempt};
use crate::{ForwarderContext, RequestError};
use rainstand_protocol::thrift::{self, ProcessArgs};
use rainstand_routing::fleet::{
    Attempt, AttemptOutcome, Completed, Fleet, NextAction, RequestOutcome, RequestState,
};
use rainstand_routing::table::Request;
use rainstand_routing::weighted_split::name_hash;
use std::rc::Rc;
use std::time::Duration;

/// Retry-after of a request that comes while [`MAX_IN_FLIGHT_REQUESTS`] are in flight or while the forwarder drains.
/// No decision is asked and no jitter added; the retry-after of decisions is [`rainstand_routing::retry_after`].
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What became of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutcomeReceipt {
    /// It decided about the request's next step.
    Accepted,
    /// The request has its answer, or is at another attempt: the outcome changed nothing.
    Late,
}

/// The answer that a request still needs at its end.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// None: the member's own was forwarded, or nobody waits.
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
            } => Some(rejection(sequence_number, retry_after, nowhere_else)),
            Reply::Failed => Some(thrift::lost(sequence_number)),
        }
    }
}

/// A rejection as it goes to the caller; `nowhere_else`: another forwarder is no use either.
fn rejection(sequence_number: i32, retry_after: Duration, nowhere_else: bool) -> Vec<u8> {
    let pause = retry_after.as_millis().to_string();
    let mut texts = vec![("pause", pause.as_str())];
    texts.extend(nowhere_else.then_some(("terminal", "1")));
    thrift::backoff(sequence_number, &texts)
}

/// Decides about a call that was read.
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
    let request = Request {
        request_class,
        tenant,
        tenant_hash,
        entity: field("entity")?.unwrap_or(""),
        is_retry: field("redo")? == Some("1"),
        size: body_bytes,
    };
    Ok(fleet.on_arrival(now, &request))
}

impl ForwarderContext {
    /// Takes a request that was read: it is rejected at once, or its first attempt is sent.
    ///
    /// # Errors
    /// If the call is malformed; it gets no other answer then.
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
            client.send_answer(&rejection(sequence_number, OVERLOAD_RETRY_AFTER, false));
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
        self.carry_out(request_id, action);
        Ok(())
    }

    /// Carries out the next step of a request.
    fn carry_out(self: &Rc<Self>, request_id: u64, action: NextAction) {
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
        };
        self.requests
            .begin(id, state, RequestPhase::AtMember(in_flight));
        self.requests.schedule(attempt.timeout, id);
        let outgoing = OutgoingAttempt {
            id,
            is_retry: attempt.is_retry,
            attempt_number: attempt.attempt_number,
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

    /// Ends a request with the answer that it still needs.
    fn answer(&self, request_id: u64, reply: Reply) {
        let Some(request) = self.requests.remove(request_id) else {
            return;
        };
        let sequence_number = request.sequence_number;
        request
            .client
            .open_requests
            .borrow_mut()
            .remove(&sequence_number);
        if let Some(frame) = reply.frame(sequence_number) {
            request.client.send_answer(&frame);
        }
    }

    /// Answers all that is in flight as failed, at the end of a drain.
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

    /// An attempt took too long, or a backoff is over.
    pub(super) fn on_timer(self: &Rc<Self>, id: AttemptId) {
        match self.requests.phase(id) {
            None => {}
            Some(RequestPhase::AtMember(attempt)) => {
                let receipt = self.on_attempt_outcome(id, AttemptOutcome::TimedOut);
                if receipt == OutcomeReceipt::Accepted {
                    upstream::cancel_timed_out(self, &attempt.address, id, attempt.sent_at);
                }
            }
            Some(RequestPhase::Waiting) => {
                if let Some(state) = self.requests.claim(id) {
                    let action = self.fleet.borrow_mut().on_retry_due(self.now(), state);
                    self.carry_out(id.request, action);
                }
            }
        }
    }

    /// An attempt ended without a result.
    pub(crate) fn on_attempt_outcome(
        self: &Rc<Self>,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) -> OutcomeReceipt {
        let Some(state) = self.requests.claim(id) else {
            return OutcomeReceipt::Late;
        };
        let action = self.decide_outcome(id, state, outcome);
        self.carry_out(id.request, action);
        OutcomeReceipt::Accepted
    }

    /// A member served an attempt: its result goes on unchanged, under the caller's sequence number.
    pub(crate) fn on_served(self: &Rc<Self>, id: AttemptId, body: &[u8]) -> OutcomeReceipt {
        let Some(state) = self.requests.claim(id) else {
            return OutcomeReceipt::Late;
        };
        self.requests.with_request(id.request, |request| {
            let frame = thrift::answer(b"process", request.sequence_number, body, true);
            request.client.send_answer(&frame);
        });
        let action = self.decide_outcome(id, state, AttemptOutcome::Served);
        self.carry_out(id.request, action);
        OutcomeReceipt::Accepted
    }

    /// Records an outcome in the metrics and asks the decisions for the next step.
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

    /// The caller cancelled a request, or its connection ended.
    pub(crate) fn on_caller_gone(self: &Rc<Self>, request_id: u64) {
        let Some(id) = self.requests.current_attempt(request_id) else {
            return;
        };
        if self.on_attempt_outcome(id, AttemptOutcome::CallerLeft) == OutcomeReceipt::Accepted {
            upstream::cancel_anywhere(self, id);
        }
    }
}
