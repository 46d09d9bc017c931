//! One message at a time: events into calls, orders into actions.

use rainstand::{AdmissionController, Arrival, Gauges, Host, Outcome, RetryOf};
use rainstand_settings::fields::{flag, object, optional, seconds, span, text_of, whole, Fields};
use rainstand_settings::Start;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Write;
use std::time::Duration;

/// The instances of this process; they share nothing.
#[derive(Default)]
pub struct Fleet {
    now: Duration,
    instances: BTreeMap<String, Instance>,
}

struct Instance {
    node: AdmissionController,
    door: Door,
    types: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
}

/// Maps the wire's ticket ids to small indices and back, and writes the actions.
struct Door {
    name: String,
    can_stop: bool,
    index: BTreeMap<u64, usize>,
    ids: Vec<u64>,
    free: Vec<usize>,
    now: Duration,
    out: Vec<u8>,
}

impl Fleet {
    /// Takes one line; true when a batch is complete and `reply` holds the answer.
    pub fn take(&mut self, text: &[u8], reply: &mut Vec<u8>) -> Result<bool, String> {
        let value: Value =
            serde_json::from_slice(text).map_err(|e| format!("not a JSON value: {e}"))?;
        let Value::Object(fields) = value else {
            return Err("not a JSON object".into());
        };
        let msg = text_of(&fields, "msg")?;
        match msg {
            "clock" => self.now = span(&fields, "atTimeS")?,
            "go" => {
                reply.extend_from_slice(b"{\"msg\":\"done\"}\n");
                return Ok(true);
            }
            "born" => {
                let name = text_of(&fields, "nodeId")?.to_owned();
                let mut instance = Instance::born(name.clone(), self.now, &fields)
                    .map_err(|e| format!("born: {e}"))?;
                instance.node.begin(self.now, &mut instance.door);
                reply.append(&mut instance.door.out);
                self.instances.insert(name, instance);
            }
            "halt" => {
                self.instances.remove(text_of(&fields, "nodeId")?);
            }
            "ask" | "completed" | "quiesce" | "reminder" | "stalledOnCall" | "clientLeft"
            | "callEnded" => {
                let name = text_of(&fields, "nodeId")?;
                let instance = self
                    .instances
                    .get_mut(name)
                    .ok_or_else(|| format!("{msg}: {name} was never born, or has halted"))?;
                instance.door.now = self.now;
                instance
                    .event(self.now, msg, &fields)
                    .map_err(|e| format!("{msg}: {e}"))?;
                reply.append(&mut instance.door.out);
            }
            _ => {}
        }
        Ok(false)
    }
}

impl Instance {
    fn born(name: String, now: Duration, fields: &Fields) -> Result<Self, String> {
        let seed = whole(fields, "entropy")?;
        let facts = object(fields, "facts")?;
        let start = Start::read(facts, seed, now, false)?;
        let Start {
            node,
            types,
            tenants,
            can_stop,
            ..
        } = start;
        let door = Door {
            name,
            can_stop,
            index: BTreeMap::new(),
            ids: Vec::new(),
            free: Vec::new(),
            now,
            out: Vec::new(),
        };
        Ok(Self {
            node,
            door,
            types,
            tenants,
        })
    }

    fn event(&mut self, now: Duration, msg: &str, fields: &Fields) -> Result<(), String> {
        let (node, door) = (&mut self.node, &mut self.door);
        match msg {
            "quiesce" => node.on_shutdown_notice(now, door, span(fields, "patienceLeftS")?),
            "reminder" => {
                let gauge = object(fields, "gauge")?;
                let gauges = Gauges {
                    cores_busy: optional(gauge, "core_use")?,
                    runnable: optional(gauge, "on_cores")?,
                    memory: optional(gauge, "heap_share")?,
                    connections: optional(gauge, "links")?,
                };
                node.on_tick(now, door, gauges);
            }
            "ask" => {
                let id = whole(fields, "req")?;
                let kind = text_of(fields, "type")?;
                let traffic = self.types.get(kind).copied();
                let prior = match fields.get("prior").and_then(Value::as_u64).unwrap_or(0) {
                    0 => RetryOf::No,
                    prior => door
                        .index
                        .get(&prior)
                        .map_or(RetryOf::Past, |&ix| RetryOf::Of(ix)),
                };
                let billing = fields.get("billing").and_then(Value::as_str);
                let arrival = Arrival {
                    class: traffic.ok_or_else(|| format!("type {kind} is not known"))?,
                    tenant: billing.and_then(|name| self.tenants.get(name).copied()),
                    waited: span(fields, "layS")?,
                    caller_timeout: optional(fields, "patienceLeftS")?
                        .filter(|left| *left > 0.0)
                        .map(seconds)
                        .transpose()?,
                    retry_of: prior,
                    size_hint: optional(fields, "sizeHintS")?
                        .filter(|hint| *hint > 0.0)
                        .map(seconds)
                        .transpose()?,
                    held_kb: optional(fields, "heldKb")?.unwrap_or(0.0),
                    is_retry: flag(fields, "againByClient"),
                };
                let ix = door.admit(id);
                node.on_arrival(now, door, ix, &arrival);
            }
            _ => {
                let id = whole(fields, "req")?;
                let Some(&ix) = door.index.get(&id) else {
                    return Ok(());
                };
                match msg {
                    "completed" => node.on_run_finished(now, door, ix, outcome(fields)?),
                    "callEnded" => node.on_call_finished(now, door, ix, outcome(fields)?),
                    "stalledOnCall" => node.on_downstream_call(now, door, ix),
                    _ => node.on_caller_gone(now, door, ix),
                }
            }
        }
        Ok(())
    }
}

impl Door {
    fn admit(&mut self, id: u64) -> usize {
        let ix = self.free.pop().unwrap_or(self.ids.len());
        if ix == self.ids.len() {
            self.ids.push(id);
        } else {
            self.ids[ix] = id;
        }
        self.index.insert(id, ix);
        ix
    }

    fn action(&mut self, msg: &str, rest: std::fmt::Arguments) {
        let written = writeln!(
            self.out,
            "{{\"msg\":\"{msg}\",\"nodeId\":\"{}\"{rest}}}",
            self.name
        );
        written.expect("writing to memory");
    }

    fn on_ticket(&mut self, msg: &str, request: usize, rest: std::fmt::Arguments) {
        let id = self.ids[request];
        self.action(msg, format_args!(",\"req\":{id}{rest}"));
    }
}

impl Host for Door {
    fn run(&mut self, request: usize) {
        self.on_ticket("process", request, format_args!(""));
    }

    fn cancel_run(&mut self, request: usize) {
        if self.can_stop {
            self.on_ticket("takeOff", request, format_args!(""));
        }
    }

    fn reply_from_cache(&mut self, request: usize) {
        self.on_ticket("reuse", request, format_args!(""));
    }

    fn cache_result(&mut self, request: usize, span: Duration) {
        let s = span.as_secs_f64();
        self.on_ticket("keep", request, format_args!(",\"spanS\":{s}"));
    }

    fn discard_result(&mut self, request: usize) {
        self.on_ticket("erase", request, format_args!(""));
    }

    fn reject(&mut self, request: usize, retry_after: Duration, terminal: bool) {
        let s = retry_after.as_secs_f64();
        let rest = format_args!(",\"backoffS\":{s},\"terminal\":{terminal}");
        self.on_ticket("pushBack", request, rest);
    }

    fn fail(&mut self, request: usize) {
        self.on_ticket("abort", request, format_args!(""));
    }

    fn call_downstream(&mut self, request: usize, deadline: Duration) {
        let s = deadline.as_secs_f64();
        self.on_ticket("call", request, format_args!(",\"notPastS\":{s}"));
    }

    fn reply_degraded(&mut self, request: usize) {
        self.on_ticket("degrade", request, format_args!(""));
    }

    fn advertise_load(&mut self, amount: f64) {
        self.action("announce", format_args!(",\"amount\":{amount}"));
    }

    fn set_health(&mut self, good: bool) {
        self.action(
            "reportHealth",
            format_args!(",\"on\":{good},\"shallow\":true"),
        );
    }

    fn close_idle_after(&mut self, span: Duration) {
        let s = span.as_secs_f64();
        self.action("trimAfter", format_args!(",\"spanS\":{s}"));
    }

    fn wake(&mut self, span: Duration) {
        let s = span.as_secs_f64();
        self.action("schedule", format_args!(",\"spanS\":{s},\"handle\":0"));
    }

    fn release(&mut self, request: usize) {
        self.index.remove(&self.ids[request]);
        self.free.push(request);
    }
}

fn outcome(fields: &Fields) -> Result<Outcome, String> {
    Ok(match text_of(fields, "reason")? {
        "done" => Outcome::Succeeded,
        "err" => Outcome::Failed,
        "busy" => Outcome::Rejected,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::Unreachable,
        "econnreset" => Outcome::Disconnected,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::NeverStarted,
        other => return Err(format!("reason: {other} is not known")),
    })
}
