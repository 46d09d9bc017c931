//! Start settings, as JSON, made into a node and the tables of names beside it.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod fields;

use fields::{flag, list, number, object, optional, span, text_of, whole, Fields};
use rainstand::{
    AdmissionController, AdvertiserOptions, ClientConnections, ColdStart, ConcurrencyLimiter,
    DownstreamLimiter, DownstreamShare, InFlightRequests, LoadAdvertiser, LoadSignal, Parts,
    Repeatability, RequestClass, TenantQuotas,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// All that a program around the module takes from the settings.
pub struct Start {
    pub node: AdmissionController,
    /// Traffic types by name.
    pub types: BTreeMap<String, usize>,
    /// Tenants by name.
    pub tenants: BTreeMap<String, usize>,
    /// Of each traffic type, by its index: its outer limit, and how long repeats of a ticketed one are told apart.
    pub kinds: Vec<(Duration, Option<Duration>)>,
    /// Whether running work can be taken off the cores.
    pub can_stop: bool,
    /// Names of the machine's gauges, in the order in which they are told.
    pub gauges: Vec<String>,
    /// How long the answer to a read may serve others.
    pub fresh: Duration,
    /// How long callers keep an unused connection.
    pub idle: Duration,
    /// Whether the list of nodes follows what a node reports of itself.
    pub listed_by_state: bool,
    /// What arrives later than this after the notice to leave is not run.
    pub grace: Duration,
    /// The longest wait that callers may be asked for; none where they may not be asked.
    pub longest_pause: Duration,
}

/// Whether running work can be taken off the cores: `off` says no; `drop` and `pause` yes, as does a
/// file that does not say, which is how nodes ran before the setting was read.
fn halts(family: &Fields) -> Result<bool, String> {
    match family
        .get("halt")
        .map(|v| v.as_str().ok_or("halt: no text there"))
        .transpose()?
    {
        None | Some("drop" | "pause") => Ok(true),
        Some("off") => Ok(false),
        Some(other) => Err(format!("halt: {other} is not off, drop or pause")),
    }
}

/// Types and tenants of new settings, laid in the order in which a running node knows them: by name, as a file may list them in
/// another one.
///
/// # Errors
/// Where the names are not the same ones: the books are laid out by them.
pub fn in_order(
    facts: &Fields,
    types: &BTreeMap<String, usize>,
    tenants: &BTreeMap<String, usize>,
) -> Result<Fields, String> {
    let places = |key: &str, known: &BTreeMap<String, usize>| {
        let entries = list(facts, key);
        let mut places = vec![None; known.len()];
        for (from, entry) in entries.iter().enumerate() {
            let name = entry
                .as_object()
                .ok_or_else(|| format!("{key}: an entry is no object"))?;
            if let Some(&to) = known.get(text_of(name, "name")?) {
                places[to] = Some(from);
            }
        }
        let places: Option<Vec<usize>> = places.into_iter().collect();
        let same = places.filter(|_| entries.len() == known.len());
        same.ok_or_else(|| "traffic types and tenants change only at a start".to_owned())
    };
    let (by_type, by_tenant) = (
        places("requestClasses", types)?,
        places("parties", tenants)?,
    );
    let mut laid = facts.clone();
    let lay = |fields: &mut Fields, key: &str, places: &[usize]| {
        // What is listed short is read as not listed: it keeps its length only where no place is missing.
        if let Some(Value::Array(all)) = fields.get_mut(key) {
            *all = places
                .iter()
                .map(|&from| all.get(from).cloned().unwrap_or(Value::Null))
                .collect();
        }
    };
    lay(&mut laid, "requestClasses", &by_type);
    lay(&mut laid, "parties", &by_tenant);
    if let Some(Value::Object(family)) = laid.get_mut("familyInfo") {
        lay(family, "classCalls", &by_type);
        lay(family, "classSkipWorth", &by_type);
    }
    Ok(laid)
}

impl Start {
    /// `born`: when the machine's work began, on the clock that the node is called with; `cold`: it was
    /// cold then, whatever the settings say.
    pub fn read(facts: &Fields, seed: u64, born: Duration, cold: bool) -> Result<Self, String> {
        let family = object(facts, "familyInfo")?;
        let duties = object(facts, "obligations")?;
        let permits = object(facts, "permissions")?;
        let calls = list(family, "classCalls");
        let skips = list(family, "classSkipWorth");
        let mut names = BTreeMap::new();
        let mut types = Vec::new();
        for (k, class) in list(facts, "requestClasses").iter().enumerate() {
            let class = class
                .as_object()
                .ok_or("requestClasses: an entry is no object")?;
            names.insert(text_of(class, "name")?.to_owned(), k);
            let calls = calls.get(k).and_then(Value::as_bool).unwrap_or(true);
            let skip = skips.get(k).and_then(Value::as_f64).unwrap_or(0.0);
            types.push(RequestClass {
                latency_objective: span(class, "aimS")?,
                deadline: span(class, "deadlineS")?,
                value: number(class, "value")?,
                late_share: optional(class, "lateWorth")?.unwrap_or(0.0),
                degraded_share: if calls { skip } else { 0.0 },
                repeatability: match text_of(class, "effect")? {
                    "free" => Repeatability::Idempotent,
                    "guarded" => Repeatability::IdempotentWithKey(span(class, "windowS")?),
                    "single_shot" => Repeatability::NonIdempotent,
                    other => return Err(format!("effect: {other} is not known")),
                },
            });
        }
        let window = |kind: &RequestClass| match kind.repeatability {
            Repeatability::IdempotentWithKey(window) => Some(window),
            _ => None,
        };
        let kinds = types
            .iter()
            .map(|kind| (kind.deadline, window(kind)))
            .collect();
        let mut tenants = BTreeMap::new();
        let mut quotas = Vec::new();
        for (k, party) in list(facts, "parties").iter().enumerate() {
            let party = party.as_object().ok_or("parties: an entry is no object")?;
            tenants.insert(text_of(party, "name")?.to_owned(), k);
            quotas.push(number(party, "quotaRps")?);
        }
        let servers = whole(facts, "groupSize")? as usize;
        let cold = if cold || flag(family, "cold") {
            Some(ColdStart {
                began: born,
                initial_speed: number(duties, "coldShare")?,
                warm_up: span(duties, "rampTimeS")?,
            })
        } else {
            None
        };
        let share = match text_of(family, "below")? {
            "shared" => Some(DownstreamShare {
                concurrency: number(family, "callShare")?,
                window: span(family, "callsOverS")?,
                linger: span(family, "lingersS")?,
            }),
            _ => None,
        };
        let say = match text_of(family, "say")? {
            "level" => LoadSignal::Level,
            "credit" => LoadSignal::Credit,
            "weight" => LoadSignal::Weight,
            _ => LoadSignal::Nothing,
        };
        let longest = if flag(permits, "retryAfter") {
            span(permits, "maxRetryAfterS")?
        } else {
            Duration::ZERO
        };
        let clients = object(facts, "clients")?;
        let marked = flag(clients, "marksRetry");
        let cores = whole(family, "cores")? as usize;
        let clients = ClientConnections {
            callers: whole(family, "callers")? as usize,
            idle_timeout: span(family, "idleS")?,
        };
        let factor = number(duties, "overloadFactor")?;
        let by_work = facts.get("countedBy").and_then(Value::as_str) == Some("work");
        let hand = InFlightRequests::new(
            number(family, "ramKb")?,
            number(family, "runMemFactor")?,
            optional(family, "entryKb")?.unwrap_or(0.0),
        );
        let parts = Parts {
            quotas: TenantQuotas::new(&quotas, servers),
            limit: ConcurrencyLimiter::new(seed, cores, factor, cold),
            in_flight: hand,
            downstream: DownstreamLimiter::new(share),
            advertiser: LoadAdvertiser::new(AdvertiserOptions {
                signal: say,
                max_retry_after: longest,
                drain_grace: span(duties, "drainGraceS")?,
                retries_marked: marked,
                clients,
            }),
        };
        Ok(Self {
            node: AdmissionController::new(types, by_work, parts),
            types: names,
            tenants,
            kinds,
            can_stop: halts(family)?,
            gauges: list(family, "gauges")
                .iter()
                .filter_map(Value::as_str)
                .map(str::to_owned)
                .collect(),
            fresh: Duration::try_from_secs_f64(optional(family, "freshS")?.unwrap_or(0.0))
                .unwrap_or_default(),
            idle: clients.idle_timeout,
            listed_by_state: flag(family, "readiness"),
            grace: span(duties, "drainGraceS")?,
            longest_pause: longest,
        })
    }
}
