//! One message at a time: events into calls, orders into actions.

use rainstand::{
    Arrival, Below, Gauges, Hand, Host, Ledger, Limit, Node, Outcome, Repeat, Repeats, Say, TrafficType,
    Voice,
};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::time::Duration;

type Fields = Map<String, Value>;

/// The instances of this process; they share nothing.
#[derive(Default)]
pub struct Fleet {
    now: Duration,
    instances: BTreeMap<String, Instance>,
}

struct Instance {
    node: Node,
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
        let value: Value = serde_json::from_slice(text).map_err(|e| format!("not a JSON value: {e}"))?;
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
                let mut instance =
                    Instance::born(name.clone(), self.now, &fields).map_err(|e| format!("born: {e}"))?;
                instance.node.begin(self.now, &mut instance.door);
                reply.append(&mut instance.door.out);
                self.instances.insert(name, instance);
            }
            "halt" => {
                self.instances.remove(text_of(&fields, "nodeId")?);
            }
            "ask" | "completed" | "quiesce" | "reminder" | "stalledOnCall" | "clientLeft" | "callEnded" => {
                let name = text_of(&fields, "nodeId")?;
                let instance = self
                    .instances
                    .get_mut(name)
                    .ok_or_else(|| format!("{msg}: {name} was never born, or has halted"))?;
                instance.door.now = self.now;
                instance.event(self.now, msg, &fields).map_err(|e| format!("{msg}: {e}"))?;
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
        let family = object(facts, "familyInfo")?;
        let duties = object(facts, "obligations")?;
        let permits = object(facts, "permissions")?;
        let calls = list(family, "classCalls");
        let skips = list(family, "classSkipWorth");
        let mut names = BTreeMap::new();
        let mut types = Vec::new();
        for (k, class) in list(facts, "requestClasses").iter().enumerate() {
            let class = class.as_object().ok_or("requestClasses: an entry is no object")?;
            names.insert(text_of(class, "name")?.to_owned(), k);
            let calls = calls.get(k).and_then(Value::as_bool).unwrap_or(true);
            let skip = skips.get(k).and_then(Value::as_f64).unwrap_or(0.0);
            types.push(TrafficType {
                goal_time: span(class, "aimS")?,
                outer_limit: span(class, "deadlineS")?,
                benefit: number(class, "value")?,
                late: optional(class, "lateWorth")?.unwrap_or(0.0),
                poorer: if calls { skip } else { 0.0 },
                repeats: match text_of(class, "effect")? {
                    "free" => Repeats::Rerunnable,
                    "guarded" => Repeats::Ticketed(span(class, "windowS")?),
                    "single_shot" => Repeats::Exclusive,
                    other => return Err(format!("effect: {other} is not known")),
                },
            });
        }
        let mut tenants = BTreeMap::new();
        let mut quotas = Vec::new();
        for (k, party) in list(facts, "parties").iter().enumerate() {
            let party = party.as_object().ok_or("parties: an entry is no object")?;
            tenants.insert(text_of(party, "name")?.to_owned(), k);
            quotas.push(number(party, "quotaRps")?);
        }
        let servers = whole(facts, "groupSize")? as usize;
        let cold = if flag(family, "cold") {
            let start = number(duties, "coldShare")?;
            Some((now, start, span(duties, "rampTimeS")?))
        } else {
            None
        };
        let share = match text_of(family, "below")? {
            "shared" => {
                Some((number(family, "callShare")?, span(family, "callsOverS")?, span(family, "lingersS")?))
            }
            _ => None,
        };
        let say = match text_of(family, "say")? {
            "level" => Say::Level,
            "credit" => Say::Credit,
            "weight" => Say::Weight,
            _ => Say::Nothing,
        };
        let longest =
            if flag(permits, "retryAfter") { span(permits, "maxRetryAfterS")? } else { Duration::ZERO };
        let clients = object(facts, "clients")?;
        let marked = flag(clients, "marksRetry");
        let cores = whole(family, "cores")? as usize;
        let callers = (whole(family, "callers")? as usize, span(family, "idleS")?);
        let factor = number(duties, "overloadFactor")?;
        let by_work = facts.get("countedBy").and_then(Value::as_str) == Some("work");
        let hand = Hand::new(
            number(family, "ramKb")?,
            number(family, "runMemFactor")?,
            optional(family, "entryKb")?.unwrap_or(0.0),
        );
        let parts = (
            Ledger::new(&quotas, servers),
            Limit::new(seed, cores, factor, cold),
            hand,
            Below::new(share),
            Voice::new(say, longest, span(duties, "drainGraceS")?, marked, callers),
        );
        let node = Node::new(types, by_work, parts);
        let door = Door {
            name,
            can_stop: family.get("halt").and_then(Value::as_str) != Some("off"),
            index: BTreeMap::new(),
            ids: Vec::new(),
            free: Vec::new(),
            now,
            out: Vec::new(),
        };
        Ok(Self { node, door, types: names, tenants })
    }

    fn event(&mut self, now: Duration, msg: &str, fields: &Fields) -> Result<(), String> {
        let (node, door) = (&mut self.node, &mut self.door);
        match msg {
            "quiesce" => node.leaving(now, door, span(fields, "patienceLeftS")?),
            "reminder" => {
                let gauge = object(fields, "gauge")?;
                let gauges = Gauges {
                    cores_busy: optional(gauge, "core_use")?,
                    on_cores: optional(gauge, "on_cores")?,
                    memory: optional(gauge, "heap_share")?,
                    links: optional(gauge, "links")?,
                };
                node.woken(now, door, gauges);
            }
            "ask" => {
                let id = whole(fields, "req")?;
                let kind = text_of(fields, "type")?;
                let traffic = self.types.get(kind).copied();
                let prior = match fields.get("prior").and_then(Value::as_u64).unwrap_or(0) {
                    0 => Repeat::No,
                    prior => door.index.get(&prior).map_or(Repeat::Past, |&ix| Repeat::Of(ix)),
                };
                let billing = fields.get("billing").and_then(Value::as_str);
                let arrival = Arrival {
                    traffic: traffic.ok_or_else(|| format!("type {kind} is not known"))?,
                    tenant: billing.and_then(|name| self.tenants.get(name).copied()),
                    waited: span(fields, "layS")?,
                    patience: optional(fields, "patienceLeftS")?
                        .filter(|left| *left > 0.0)
                        .map(seconds)
                        .transpose()?,
                    repeat: prior,
                    hint: optional(fields, "sizeHintS")?
                        .filter(|hint| *hint > 0.0)
                        .map(seconds)
                        .transpose()?,
                    held_kb: optional(fields, "heldKb")?.unwrap_or(0.0),
                    again: flag(fields, "againByClient"),
                };
                let ix = door.admit(id);
                node.arrived(now, door, ix, arrival);
            }
            _ => {
                let id = whole(fields, "req")?;
                let Some(&ix) = door.index.get(&id) else {
                    return Ok(());
                };
                match msg {
                    "completed" => node.ended(now, door, ix, outcome(fields)?),
                    "callEnded" => node.call_ended(now, door, ix, outcome(fields)?),
                    "stalledOnCall" => node.at_call(now, door, ix),
                    _ => node.gone(now, door, ix),
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
        let written = writeln!(self.out, "{{\"msg\":\"{msg}\",\"nodeId\":\"{}\"{rest}}}", self.name);
        written.expect("writing to memory");
    }

    fn on_ticket(&mut self, msg: &str, ticket: usize, rest: std::fmt::Arguments) {
        let id = self.ids[ticket];
        self.action(msg, format_args!(",\"req\":{id}{rest}"));
    }
}

impl Host for Door {
    fn run(&mut self, ticket: usize) {
        self.on_ticket("process", ticket, format_args!(""));
    }

    fn take_off(&mut self, ticket: usize) {
        if self.can_stop {
            self.on_ticket("takeOff", ticket, format_args!(""));
        }
    }

    fn reuse(&mut self, ticket: usize) {
        self.on_ticket("reuse", ticket, format_args!(""));
    }

    fn keep(&mut self, ticket: usize, span: Duration) {
        let s = span.as_secs_f64();
        self.on_ticket("keep", ticket, format_args!(",\"spanS\":{s}"));
    }

    fn forget(&mut self, ticket: usize) {
        self.on_ticket("erase", ticket, format_args!(""));
    }

    fn dismiss(&mut self, ticket: usize, come_back: Duration, nowhere_else: bool) {
        let s = come_back.as_secs_f64();
        let rest = format_args!(",\"backoffS\":{s},\"terminal\":{nowhere_else}");
        self.on_ticket("pushBack", ticket, rest);
    }

    fn give_up(&mut self, ticket: usize) {
        self.on_ticket("abort", ticket, format_args!(""));
    }

    fn call(&mut self, ticket: usize, until: Duration) {
        let s = until.as_secs_f64();
        self.on_ticket("call", ticket, format_args!(",\"notPastS\":{s}"));
    }

    fn answer_poorer(&mut self, ticket: usize) {
        self.on_ticket("degrade", ticket, format_args!(""));
    }

    fn say(&mut self, amount: f64) {
        self.action("announce", format_args!(",\"amount\":{amount}"));
    }

    fn checks(&mut self, good: bool) {
        self.action("reportHealth", format_args!(",\"on\":{good},\"shallow\":true"));
    }

    fn close_idle_after(&mut self, span: Duration) {
        let s = span.as_secs_f64();
        self.action("trimAfter", format_args!(",\"spanS\":{s}"));
    }

    fn wake(&mut self, span: Duration) {
        let s = span.as_secs_f64();
        self.action("schedule", format_args!(",\"spanS\":{s},\"handle\":0"));
    }

    fn over(&mut self, ticket: usize) {
        self.index.remove(&self.ids[ticket]);
        self.free.push(ticket);
    }
}

fn outcome(fields: &Fields) -> Result<Outcome, String> {
    Ok(match text_of(fields, "reason")? {
        "done" => Outcome::Done,
        "err" => Outcome::Erred,
        "busy" => Outcome::Bounced,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::Unreachable,
        "econnreset" => Outcome::CutOff,
        "ecanceled" => Outcome::Stopped,
        "skipped" => Outcome::Moot,
        other => return Err(format!("reason: {other} is not known")),
    })
}

fn text_of<'a>(fields: &'a Fields, key: &str) -> Result<&'a str, String> {
    let value = fields.get(key).and_then(Value::as_str);
    value.ok_or_else(|| format!("{key}: no text there"))
}

fn object<'a>(fields: &'a Fields, key: &str) -> Result<&'a Fields, String> {
    let value = fields.get(key).and_then(Value::as_object);
    value.ok_or_else(|| format!("{key}: no object there"))
}

fn list<'a>(fields: &'a Fields, key: &str) -> &'a [Value] {
    let value = fields.get(key).and_then(Value::as_array);
    value.map_or(&[], Vec::as_slice)
}

fn optional(fields: &Fields, key: &str) -> Result<Option<f64>, String> {
    match fields.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_f64() {
            Some(number) => Ok(Some(number)),
            None => Err(format!("{key}: not a number")),
        },
    }
}

fn number(fields: &Fields, key: &str) -> Result<f64, String> {
    optional(fields, key)?.ok_or_else(|| format!("{key}: no number there"))
}

fn whole(fields: &Fields, key: &str) -> Result<u64, String> {
    let value = fields.get(key).and_then(Value::as_u64);
    value.ok_or_else(|| format!("{key}: no whole number there"))
}

fn flag(fields: &Fields, key: &str) -> bool {
    fields.get(key).and_then(Value::as_bool).unwrap_or(false)
}

fn seconds(s: f64) -> Result<Duration, String> {
    Duration::try_from_secs_f64(s).map_err(|e| format!("{s} s: {e}"))
}

fn span(fields: &Fields, key: &str) -> Result<Duration, String> {
    seconds(number(fields, key)?).map_err(|e| format!("{key}: {e}"))
}
