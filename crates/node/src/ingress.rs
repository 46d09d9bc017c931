//! From a frame to the decision module: names to indices, repeats, what bad input gets.

use crate::connection::Connection;
use crate::counters::count;
use crate::idempotency::GroupClaim;
use crate::pending_reply::PendingReply;
use crate::request::{Request, RunState};
use crate::result_cache::{body_checksum, CachedResult, IdempotencyKey};
use crate::{thrift, NodeContext};
use rainstand::{Arrival, Host, RetryOf};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Tickets open on one connection, by the protocol.
const OPEN_MOST: usize = 32;
/// The longest body, in bytes, by the protocol.
const BODY_MOST: usize = 2 * 1024;
/// The longest name of what a ticket is about, in bytes: past any id, and cheap to keep.
const NAME_MOST: usize = 256;
/// Exceptions on a connection that was of no use yet, past which it ends: two full sets of open tickets.
const EXCEPTIONS_MOST: u64 = 64;
/// Bodies of tickets in hand may take this part of the memory: an eighth.
const BODIES_PART: usize = 8;
/// Memory booked for a held ticket, in KB, by the protocol.
const SIZE_MOST: f64 = 2_000.0;
/// How far from now a ticket may be born, either way, and how long its caller may wait: past any standstill and outer limit, and past what
/// clocks of two machines are apart, so that one that is off does not turn every ticket away.
const BORN_WITHIN: Duration = Duration::from_secs(600);

/// One frame. An error is the reason code for which the connection is to end.
pub fn handle_frame(
    context: &NodeContext,
    conn: &Rc<Connection>,
    frame: &[u8],
) -> Result<(), thrift::Flaw> {
    let message = thrift::message(frame)?;
    let (name, seq) = (message.name, message.seq);
    let except = |code, why: &str| {
        count(&context.counts.exceptions);
        count(&conn.exceptions);
        if !message.oneway {
            conn.send(&thrift::exception(name, seq, code, why));
        }
    };
    let unreadable = |flaw| {
        except(thrift::PROTOCOL_ERROR, "arguments cannot be read");
        flaw
    };
    match name {
        b"process" if message.oneway => count(&context.counts.exceptions),
        b"process" => {
            let (fields, body) = thrift::process_args(message.args).map_err(unreadable)?;
            if conn.open_requests.borrow().contains_key(&seq) {
                return Err("seq_repeated");
            }
            if let Err(why) = ticket(context, conn, seq, fields, body) {
                except(thrift::INTERNAL_ERROR, why);
            }
        }
        b"giveUp" => {
            let left = thrift::give_up_args(message.args).map_err(unreadable)?;
            left.into_iter().for_each(|seq| cancel(context, conn, seq));
        }
        b"probe" => {
            thrift::probe_args(message.args).map_err(unreadable)?;
            count(&context.counts.probes);
            conn.is_known.set(true);
            let good = context.core.borrow().table.healthy;
            if !message.oneway {
                conn.send(&thrift::answer(b"probe", seq, &[], good));
            }
        }
        _ => except(thrift::UNKNOWN_METHOD, "no such method"),
    }
    // Guards against one that sends the same nonsense again as soon as it is told so.
    if !conn.is_known.get() && conn.exceptions.get() >= EXCEPTIONS_MOST {
        return Err("bad_input");
    }
    Ok(())
}

/// The caller no longer waits for the answer of this number.
pub fn cancel(context: &NodeContext, conn: &Connection, seq: i32) {
    let Some(index) = conn.open_requests.borrow_mut().remove(&seq) else {
        return;
    };
    count(&context.counts.left);
    context.drive_policy(|node, now, table| {
        if let Some(request) = table.request_mut(index) {
            request.reply = None;
            node.on_caller_gone(now, table, index);
        }
    });
}

/// Gives up all that is open on a connection that is to end: its caller sent what cannot be read.
pub fn cancel_all(context: &NodeContext, conn: &Connection) {
    let first = || conn.open_requests.borrow_mut().pop_first();
    while let Some((_, index)) = first() {
        context.drive_policy(|node, now, table| {
            table.fail(index);
            node.on_caller_gone(now, table, index);
        });
    }
}

fn ticket(
    context: &NodeContext,
    conn: &Rc<Connection>,
    seq: i32,
    fields: Option<Vec<(&[u8], &[u8])>>,
    body: Option<&[u8]>,
) -> Result<(), &'static str> {
    let fields = fields.ok_or("fields: missing")?;
    let body = body
        .filter(|body| body.len() <= BODY_MOST)
        .ok_or("body: missing or too long")?;
    let text = |name: &str| {
        let found = fields.iter().find(|field| field.0 == name.as_bytes());
        found.and_then(|field| std::str::from_utf8(field.1).ok())
    };
    let given = |name: &str| fields.iter().any(|field| field.0 == name.as_bytes());
    let hex = |text: &str| text.bytes().all(|b| b.is_ascii_hexdigit());
    let trace = text("trace")
        .filter(|text| hex(text))
        .and_then(|text| text.as_bytes().try_into().ok());
    let trace: [u8; 16] = trace.ok_or("trace: no 16 hex digits")?;
    let born: u64 = text("born")
        .and_then(|ms| ms.parse().ok())
        .ok_or("born: no milliseconds")?;
    let waited = since(born).ok_or("born: not within minutes of now")?;
    // Counted from where it was born: however long it lay unread, its caller waits no longer for it.
    let patience = match text("patience").map(|ms| ms.parse().map(Duration::from_millis)) {
        None if given("patience") => return Err("patience: no text"),
        None => None,
        // As in the settings' own form: 0 is that of a caller who does not tell.
        Some(Ok(Duration::ZERO)) => None,
        Some(Ok(whole)) if whole <= BORN_WITHIN => Some(whole.saturating_sub(waited)),
        Some(_) => return Err("patience: no milliseconds within minutes"),
    };
    let number = |name: &str| text(name).and_then(|text| text.parse::<f64>().ok());
    let held_kb = number("size")
        .filter(|kb| *kb > 0.0 && *kb < SIZE_MOST)
        .ok_or("size: no kilobytes")?;
    number("order")
        .filter(|rank| (0.0..1.0).contains(rank))
        .ok_or("order: no rank")?;
    text("client")
        .and_then(|text| text.parse::<u32>().ok())
        .ok_or("client: no number")?;
    let route = text("route").ok_or("route: missing")?;
    let name = |field: &str| text(field).filter(|name| !name.is_empty() && name.len() <= NAME_MOST);
    let (nonce, entity) = (name("nonce"), name("entity"));
    if given("nonce") && nonce.is_none() {
        return Err("nonce: empty or too long");
    }
    if given("entity") && entity.is_none() {
        return Err("entity: empty or too long");
    }
    let again = given("redo");
    if again && text("redo") != Some("1") {
        return Err("redo: neither 1 nor absent");
    }
    if conn.open_requests.borrow().len() >= OPEN_MOST {
        return Err("too many open tickets on this connection");
    }

    let mut core = context.core.borrow_mut();
    let begun = core.controller.is_some();
    let table = &mut core.table;
    let known = |names: &BTreeMap<String, usize>, name: &str| names.get(name).copied();
    let traffic = known(&table.classes, route).ok_or("route: no such traffic type")?;
    let tenant = text("customer").and_then(|name| known(&table.tenants, name));
    if tenant.is_none() && (given("customer") || !table.tenants.is_empty()) {
        return Err("customer: no such tenant");
    }
    if table.by_trace.contains_key(&trace) {
        return Err("trace: in hand already");
    }
    let now = Instant::now();
    // What tells a repeat: all tries of a ticketed one carry the same nonce. A name that comes without is what
    // the ticket is about, which is as much where the type is ticketed.
    let (outer_limit, window) = table.class_limits.get(traffic).copied().unwrap_or_default();
    let name = nonce.or(entity.filter(|_| window.is_some()));
    // Where the node is in a group, it is the group that knows what a ticketed one repeats.
    let agreed = window.filter(|_| table.group.is_some()).zip(name);
    let keyed = agreed.map(|(window, name)| {
        let due = now + patience.unwrap_or(outer_limit.saturating_sub(waited));
        let tenant = text("customer").unwrap_or("").as_bytes();
        GroupClaim::new(
            (route, name.as_bytes()),
            [route.as_bytes(), tenant, body],
            window,
            due,
        )
    });
    let name = name.filter(|_| keyed.is_none());
    let key = name.map(|name| IdempotencyKey {
        traffic,
        tenant,
        name: name.as_bytes().into(),
    });
    let kept = key
        .as_ref()
        .and_then(|key| table.result_cache.get(now, key));
    // Guards against the result of one ticket for another under its name, and against a second run under it.
    if kept
        .as_ref()
        .is_some_and(|kept| kept.1 != body_checksum(body))
    {
        return Err("nonce: that of a ticket with another body");
    }
    count(&context.counts.tickets);
    let open = key.as_ref().and_then(|key| table.by_key.get(key).copied());
    let kept = kept.is_some_and(|kept| kept.0 != CachedResult::InProgress);
    let repeat = open
        .filter(|_| !kept)
        .map_or(if kept { RetryOf::Past } else { RetryOf::No }, RetryOf::Of);
    if repeat != RetryOf::No {
        count(&context.counts.repeats);
    }
    let owed = PendingReply {
        conn: conn.clone(),
        seq,
    };
    let no_room = |key: &IdempotencyKey| {
        repeat == RetryOf::No && window.is_some() && !table.result_cache.has_capacity(now, key)
    };
    // The agent is not up, or bodies in hand or kept keys fill their part of the memory: nothing of it was run.
    if !begun
        || table.body_bytes + body.len() > context.config.memory / BODIES_PART
        || key.as_ref().is_some_and(no_room)
    {
        owed.reject(&context.counts, context.max_retry_after.get(), false);
        return Ok(());
    }
    let index = table.put(Request {
        serial: 0,
        trace,
        reply: Some(owed),
        deadline: now + patience.unwrap_or(outer_limit.saturating_sub(waited)),
        class: traffic,
        body: body.into(),
        run: RunState::Queued,
        call: None,
        key,
        caches_result: false,
        claim: keyed,
        retry_of: open,
        waiters: Vec::new(),
        orphan_since: None,
    });
    conn.open_requests.borrow_mut().insert(seq, index);
    drop(core);
    let arrival = Arrival {
        class: traffic,
        tenant,
        waited,
        caller_timeout: patience,
        retry_of: repeat,
        size_hint: None,
        held_kb,
        is_retry: again,
    };
    context.drive_policy(|node, now, table| node.on_arrival(now, table, index, &arrival));
    Ok(())
}

/// How long ago a Unix time was, by the system's clock; none where that cannot be.
fn since(born_ms: u64) -> Option<Duration> {
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let born = Duration::from_millis(born_ms);
    (unix.abs_diff(born) <= BORN_WITHIN).then(|| unix.saturating_sub(born))
}
