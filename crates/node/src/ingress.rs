//! Frames received from callers: decodes requests, cancellations and probes, and hands requests to the policy.
//!
//! A request is parsed, looked up in the table, and either rejected or inserted; the policy is notified only after the
//! insertion. Exception texts are sent to the caller verbatim.

use crate::connection::Connection;
use crate::context::NodeContext;
use crate::counters::count;
use crate::group_claim::{ClaimedRequest, GroupClaim};
use crate::pending_reply::PendingReply;
use crate::request::{Request, RunState, Trace};
use crate::request_table::RequestTable;
use crate::result_cache::{body_checksum, CachedResult, IdempotencyKey};
use crate::thrift;
use rainstand::{Arrival, Host, Rejection, RetryElsewhere, RetryOf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Open requests allowed per connection, by the protocol.
const MAX_OPEN_REQUESTS: usize = 32;

/// The longest body, in bytes, by the protocol.
const MAX_BODY_BYTES: usize = 2 * 1024;

/// Longest nonce or entity, in bytes: longer than any identifier in use, and cheap to cache.
const MAX_NAME_BYTES: usize = 256;

/// Number of exceptions that closes a connection on which no request was served or rejected and no probe answered:
/// two full sets of open requests.
const MAX_EXCEPTIONS: u64 = 64;

/// Divisor of the memory limit for the bodies of requests in flight: one eighth.
const BODY_MEMORY_FRACTION: usize = 8;

/// Upper bound, exclusive, of the memory reserved for a queued request, in KB, by the protocol.
const MAX_HELD_KB: f64 = 2_000.0;

/// Largest difference, in either direction, between now and a request's creation time, and the longest caller timeout:
/// longer than any process suspension, any deadline and the clock skew between two machines, so that one wrong clock
/// does not get every request refused.
const MAX_CLOCK_SKEW: Duration = Duration::from_mins(10);

/// Why a request is refused: the text of the exception that is sent to its caller.
type Refusal = &'static str;

/// Handles one frame.
///
/// # Errors
/// The reason code with which the connection must be closed.
pub fn handle_frame(
    context: &NodeContext,
    conn: &Rc<Connection>,
    frame: &[u8],
) -> Result<(), thrift::ReasonCode> {
    let message = thrift::message(frame)?;
    let (name, seq) = (message.name, message.seq);
    let send_exception = |code, text: &str| {
        count(&context.counts.exceptions);
        count(&conn.exceptions);
        if !message.oneway {
            conn.send(&thrift::exception(name, seq, code, text));
        }
    };
    let unreadable = |reason_code| {
        send_exception(thrift::PROTOCOL_ERROR, "arguments cannot be read");
        reason_code
    };
    match name {
        b"process" if message.oneway => count(&context.counts.exceptions),
        b"process" => {
            let process = thrift::process_args(message.args).map_err(unreadable)?;
            if conn.open_requests.borrow().contains_key(&seq) {
                return Err("seq_repeated");
            }
            if let Err(refusal) = handle_request(context, conn, seq, process) {
                send_exception(thrift::INTERNAL_ERROR, refusal);
            }
        }
        b"giveUp" => {
            let cancelled = thrift::give_up_args(message.args).map_err(unreadable)?;
            if let Some(seq) = cancelled {
                cancel(context, conn, seq);
            }
        }
        b"probe" => {
            thrift::probe_args(message.args).map_err(unreadable)?;
            answer_probe(context, conn, &message);
        }
        _ => send_exception(thrift::UNKNOWN_METHOD, "no such method"),
    }
    // A caller that keeps repeating the same invalid message would occupy the node.
    if !conn.has_served.get() && conn.exceptions.get() >= MAX_EXCEPTIONS {
        return Err("bad_input");
    }
    Ok(())
}

/// Answers a health check.
fn answer_probe(context: &NodeContext, conn: &Connection, message: &thrift::Message) {
    count(&context.counts.probes);
    conn.has_served.set(true);
    let healthy = context.core.borrow().table.healthy;
    if !message.oneway {
        conn.send(&thrift::answer(b"probe", message.seq, &[], healthy));
    }
}

/// Cancels the request with this sequence number: its caller no longer waits for the answer.
pub fn cancel(context: &NodeContext, conn: &Connection, seq: i32) {
    let Some(index) = conn.open_requests.borrow_mut().remove(&seq) else {
        return;
    };
    count(&context.counts.left);
    context.drive_policy(|policy, now, table| {
        if let Some(request) = table.request_mut(index) {
            request.reply = None;
            policy.on_caller_gone(now, table, index);
        }
    });
}

/// Fails all open requests of a connection that is closed because its caller sent unreadable data.
pub fn fail_open_requests(context: &NodeContext, conn: &Connection) {
    let pop_first = || conn.open_requests.borrow_mut().pop_first();
    while let Some((_, index)) = pop_first() {
        context.drive_policy(|policy, now, table| {
            table.fail(index);
            policy.on_caller_gone(now, table, index);
        });
    }
}

/// The fields of a request message, as bytes.
struct Fields<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Fields<'a> {
    fn bytes(&self, name: &str) -> Option<&'a [u8]> {
        let field = self.0.iter().find(|field| field.0 == name.as_bytes());
        field.map(|field| field.1)
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        std::str::from_utf8(self.bytes(name)?).ok()
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.text(name)?.parse().ok()
    }

    /// `None` if the field is absent; the refusal if it is empty, too long or not UTF-8.
    fn name(&self, field: &str, refusal: Refusal) -> Result<Option<&'a str>, Refusal> {
        if self.bytes(field).is_none() {
            return Ok(None);
        }
        self.text(field)
            .filter(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES)
            .map(Some)
            .ok_or(refusal)
    }
}

/// A request message, parsed and validated against its limits.
struct ParsedRequest<'a> {
    trace: Trace,
    /// Time since the caller created the request.
    waited: Duration,
    /// How much longer the caller waits, from now; `None` if the request does not state it.
    caller_timeout: Option<Duration>,
    held_kb: f64,
    route: &'a str,
    /// As received; if it is not valid UTF-8, the tenant is unknown.
    customer: Option<&'a [u8]>,
    nonce: Option<&'a str>,
    entity: Option<&'a str>,
    /// The sender marked it as a retry, which does not state whether an earlier attempt ran.
    is_retry: bool,
    body: &'a [u8],
}

impl<'a> ParsedRequest<'a> {
    fn parse(process: thrift::ProcessArgs<'a>) -> Result<Self, Refusal> {
        let fields = Fields(process.fields.ok_or("fields: missing")?);
        let body = process
            .body
            .filter(|body| body.len() <= MAX_BODY_BYTES)
            .ok_or("body: missing or too long")?;
        let trace = parse_trace(&fields).ok_or("trace: no 16 hex digits")?;
        let created_ms: u64 = fields.number("born").ok_or("born: no milliseconds")?;
        let waited = elapsed_since(created_ms).ok_or("born: not within minutes of now")?;
        let caller_timeout = parse_caller_timeout(&fields, waited)?;
        let held_kb = fields
            .number("size")
            .filter(|kb| *kb > 0.0 && *kb < MAX_HELD_KB)
            .ok_or("size: no kilobytes")?;
        fields
            .number::<f64>("order")
            .filter(|rank| (0.0..1.0).contains(rank))
            .ok_or("order: no rank")?;
        fields.number::<u32>("client").ok_or("client: no number")?;
        let route = fields.text("route").ok_or("route: missing")?;
        let nonce = fields.name("nonce", "nonce: empty or too long")?;
        let entity = fields.name("entity", "entity: empty or too long")?;
        let is_retry = match fields.bytes("redo") {
            None => false,
            Some(b"1") => true,
            Some(_) => return Err("redo: neither 1 nor absent"),
        };
        Ok(Self {
            trace,
            waited,
            caller_timeout,
            held_kb,
            route,
            customer: fields.bytes("customer"),
            nonce,
            entity,
            is_retry,
            body,
        })
    }

    /// The customer's name, if it is valid UTF-8.
    fn customer_name(&self) -> Option<&'a str> {
        std::str::from_utf8(self.customer?).ok()
    }
}

fn parse_trace(fields: &Fields) -> Option<Trace> {
    let text = fields.text("trace")?;
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    text.as_bytes().try_into().ok().filter(|_| is_hex)
}

/// How much longer the caller waits. The timeout counts from the request's creation, as the caller does not extend it
/// by the time that the request lay unread.
fn parse_caller_timeout(fields: &Fields, waited: Duration) -> Result<Option<Duration>, Refusal> {
    if fields.bytes("patience").is_none() {
        return Ok(None);
    }
    let text = fields.text("patience").ok_or("patience: no text")?;
    match text.parse().map(Duration::from_millis) {
        // As in the settings, 0 means that the caller states no timeout.
        Ok(Duration::ZERO) => Ok(None),
        Ok(stated) if stated <= MAX_CLOCK_SKEW => Ok(Some(stated.saturating_sub(waited))),
        _ => Err("patience: no milliseconds within minutes"),
    }
}

/// How this node identifies a request: its class, its key, and which earlier request it repeats.
struct Identity {
    class: usize,
    tenant: Option<usize>,
    deadline: Instant,
    /// Whether its class recognizes retries by their key.
    has_retry_window: bool,
    /// Set if the group must agree on its start.
    claim: Option<GroupClaim>,
    /// Set if this node alone caches its result.
    key: Option<IdempotencyKey>,
    retry: RetryOf,
    /// The open request with the same key.
    open_request: Option<usize>,
}

impl Identity {
    fn look_up(
        table: &RequestTable,
        request: &ParsedRequest,
        now: Instant,
    ) -> Result<Self, Refusal> {
        let class = table.classes.get(request.route).copied();
        let class = class.ok_or("route: no such traffic type")?;
        let customer = request.customer_name();
        let tenant = customer.and_then(|name| table.tenants.get(name).copied());
        if tenant.is_none() && (request.customer.is_some() || !table.tenants.is_empty()) {
            return Err("customer: no such tenant");
        }
        if table.by_trace.contains_key(&request.trace) {
            return Err("trace: in hand already");
        }
        let limits = table.class_limits.get(class).copied().unwrap_or_default();
        let time_left = request
            .caller_timeout
            .unwrap_or(limits.deadline.saturating_sub(request.waited));
        let deadline = now + time_left;
        // All attempts of a request carry the same nonce. Without one, the entity identifies it if its class recognizes
        // retries.
        let name = request
            .nonce
            .or(request.entity.filter(|_| limits.key_window.is_some()));
        // For a member of a group, retries are recognized by the group.
        let window = limits.key_window.filter(|_| table.group.is_some());
        let claim = window.zip(name).map(|(window, name)| {
            let claimed = ClaimedRequest {
                class: request.route,
                tenant: customer.unwrap_or(""),
                name,
                body: request.body,
            };
            GroupClaim::new(&claimed, window, deadline)
        });
        let key = name.filter(|_| claim.is_none()).map(|name| IdempotencyKey {
            class,
            tenant,
            name: name.as_bytes().into(),
        });
        let mut identity = Self {
            class,
            tenant,
            deadline,
            has_retry_window: limits.key_window.is_some(),
            claim,
            key,
            retry: RetryOf::No,
            open_request: None,
        };
        identity.look_up_retry(table, request.body, now)?;
        Ok(identity)
    }

    /// Finds the request that this one repeats.
    fn look_up_retry(
        &mut self,
        table: &RequestTable,
        body: &[u8],
        now: Instant,
    ) -> Result<(), Refusal> {
        let Some(key) = &self.key else { return Ok(()) };
        let cached = table.result_cache.get(now, key);
        // A different body under the same key is a different request: it must neither get the cached result nor run.
        if cached
            .as_ref()
            .is_some_and(|cached| cached.body_checksum != body_checksum(body))
        {
            return Err("nonce: that of a ticket with another body");
        }
        let has_ended = cached.is_some_and(|cached| cached.result != CachedResult::InProgress);
        self.open_request = table.by_key.get(key).copied();
        self.retry = match self.open_request {
            _ if has_ended => RetryOf::Finished,
            Some(index) => RetryOf::Of(index),
            None => RetryOf::No,
        };
        Ok(())
    }

    /// Whether there is memory for the request, and for its key if its result is to be cached.
    fn fits(&self, table: &mut RequestTable, body: &[u8], memory: usize, now: Instant) -> bool {
        if table.body_bytes + body.len() > memory / BODY_MEMORY_FRACTION {
            return false;
        }
        match &self.key {
            Some(key) if self.retry == RetryOf::No && self.has_retry_window => {
                table.result_cache.has_capacity(now, key)
            }
            _ => true,
        }
    }
}

/// Inserts a request into the table and hands it to the policy, or rejects it if the node cannot run it.
fn handle_request(
    context: &NodeContext,
    conn: &Rc<Connection>,
    seq: i32,
    process: thrift::ProcessArgs<'_>,
) -> Result<(), Refusal> {
    let parsed = ParsedRequest::parse(process)?;
    if conn.open_requests.borrow().len() >= MAX_OPEN_REQUESTS {
        return Err("too many open tickets on this connection");
    }
    let mut core = context.core.borrow_mut();
    let is_started = core.controller.is_some();
    let table = &mut core.table;
    let now = Instant::now();
    let identity = Identity::look_up(table, &parsed, now)?;
    count(&context.counts.tickets);
    if identity.retry != RetryOf::No {
        count(&context.counts.repeats);
    }
    let reply = PendingReply {
        conn: conn.clone(),
        seq,
    };
    // Nothing of it ran, so the caller may retry elsewhere.
    if !is_started || !identity.fits(table, parsed.body, context.config.memory_bytes, now) {
        let rejection = Rejection {
            retry_after: context.max_retry_after.get(),
            retry_elsewhere: RetryElsewhere::Allowed,
        };
        reply.reject(&context.counts, rejection);
        return Ok(());
    }
    let arrival = Arrival {
        class: identity.class,
        tenant: identity.tenant,
        waited: parsed.waited,
        caller_timeout: parsed.caller_timeout,
        retry_of: identity.retry,
        size_hint: None,
        held_kb: parsed.held_kb,
        is_retry: parsed.is_retry,
    };
    let index = table.insert(new_request(&parsed, identity, reply));
    conn.open_requests.borrow_mut().insert(seq, index);
    drop(core);
    context.drive_policy(|policy, now, table| policy.on_arrival(now, table, index, &arrival));
    Ok(())
}

fn new_request(parsed: &ParsedRequest, identity: Identity, reply: PendingReply) -> Request {
    Request {
        serial: 0,
        trace: parsed.trace,
        reply: Some(reply),
        deadline: identity.deadline,
        class: identity.class,
        body: parsed.body.into(),
        run: RunState::Queued,
        call: None,
        key: identity.key,
        caches_result: false,
        claim: identity.claim,
        retry_of: identity.open_request,
        waiters: Vec::new(),
        orphan_since: None,
        launched_after: 0,
        thaw_command: None,
    }
}

/// Time since a Unix time by the system clock, zero if it is ahead; `None` if they differ by more than
/// [`MAX_CLOCK_SKEW`].
fn elapsed_since(created_ms: u64) -> Option<Duration> {
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let created = Duration::from_millis(created_ms);
    (unix.abs_diff(created) <= MAX_CLOCK_SKEW).then(|| unix.saturating_sub(created))
}
