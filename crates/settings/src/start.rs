//! What a node is started with: its admission controller, and what the program around it needs beside.

use crate::fields::{
    duration, entry_object, flag, list, number, object, optional, text_of, unsigned, Fields,
};
use crate::SettingsError;
use rainstand::{
    AdmissionController, AdvertiserOptions, ClientConnections, ColdStart, Components,
    ConcurrencyLimiter, DownstreamLimiter, DownstreamShare, InFlightRequests, LoadAdvertiser,
    LoadSignal, Repeatability, RequestClass, TenantQuotas,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// All that a program around the admission controller takes from the settings.
pub struct Start {
    /// The controller, not begun yet.
    pub controller: AdmissionController,
    /// Indices of the request classes by name.
    pub classes: BTreeMap<String, usize>,
    /// Indices of the tenants by name.
    pub tenants: BTreeMap<String, usize>,
    /// Time limits of each request class, by its index.
    pub class_limits: Vec<ClassLimits>,
    /// Whether running work can be taken off the cores.
    pub can_cancel_runs: bool,
    /// Names of the machine's gauges, in the order in which their values are sent.
    pub gauges: Vec<String>,
    /// How long the answer to an idempotent request may serve others.
    pub max_result_age: Duration,
    /// How long callers keep an unused connection.
    pub idle_timeout: Duration,
    /// Whether the service registry follows the health that a node reports of itself.
    pub registry_follows_health: bool,
    /// Requests that arrive later than this after a shutdown notice are not run.
    pub drain_grace: Duration,
    /// The longest delay before a retry that callers may be asked for; zero where none may be asked for.
    pub max_retry_after: Duration,
}

/// Time limits of one request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassLimits {
    /// Time after arrival by which a request must be answered.
    pub deadline: Duration,
    /// How long repeats are told apart by their key, where requests carry one.
    pub key_window: Option<Duration>,
}

impl ClassLimits {
    fn of(class: &RequestClass) -> Self {
        let key_window = match class.repeatability {
            Repeatability::IdempotentWithKey(window) => Some(window),
            Repeatability::Idempotent | Repeatability::NonIdempotent => None,
        };
        Self {
            deadline: class.deadline,
            key_window,
        }
    }
}

/// What is known of the machine that a node starts on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// When its work began, on the clock that the controller is called with.
    pub began: Duration,
    /// It was cold then, whatever the settings say.
    pub is_cold: bool,
    /// An earlier process of this node may have worked on it.
    pub had_node: bool,
}

/// Request classes or tenants, with their indices by name.
struct Named<T> {
    indices: BTreeMap<String, usize>,
    entries: Vec<T>,
}

impl Start {
    /// Reads the settings.
    ///
    /// `seed`: of the controller's random draws.
    ///
    /// # Errors
    /// The first field that is missing or wrong.
    pub fn read(settings: &Fields, seed: u64, machine: Machine) -> Result<Self, SettingsError> {
        let family = object(settings, "familyInfo")?;
        let duties = object(settings, "obligations")?;
        let permissions = object(settings, "permissions")?;
        let classes = request_classes(settings, family)?;
        let class_limits = classes.entries.iter().map(ClassLimits::of).collect();
        let tenants = tenant_quotas(settings)?;
        let servers = unsigned(settings, "groupSize")? as usize;
        let cold_start = cold_start(family, duties, machine)?;
        let share = downstream_share(family)?;
        let signal = load_signal(family)?;
        let max_retry_after = max_retry_after(permissions)?;
        let clients = object(settings, "clients")?;
        let retries_marked = flag(clients, "marksRetry");
        let cores = unsigned(family, "cores")? as usize;
        let clients = client_connections(family)?;
        let overload_factor = number(duties, "overloadFactor")?;
        let by_work = settings.get("countedBy").and_then(Value::as_str) == Some("work");
        let in_flight = in_flight_requests(family)?;
        let drain_grace = duration(duties, "drainGraceS")?;
        let advertiser = AdvertiserOptions {
            signal,
            max_retry_after,
            drain_grace,
            retries_marked,
            clients,
        };
        // A machine that comes up cold does so in the place of one that worked until then.
        let downstream = if machine.had_node || cold_start.is_some() {
            DownstreamLimiter::new(share)
        } else {
            DownstreamLimiter::without_predecessor(share)
        };
        let components = Components {
            quotas: TenantQuotas::new(&tenants.entries, servers),
            limiter: ConcurrencyLimiter::new(seed, cores, overload_factor, cold_start),
            in_flight,
            downstream,
            advertiser: LoadAdvertiser::new(advertiser),
        };
        Ok(Self {
            controller: AdmissionController::new(classes.entries, by_work, components),
            classes: classes.indices,
            tenants: tenants.indices,
            class_limits,
            can_cancel_runs: can_cancel_runs(family)?,
            gauges: gauge_names(family),
            max_result_age: max_result_age(family)?,
            idle_timeout: clients.idle_timeout,
            registry_follows_health: flag(family, "readiness"),
            drain_grace,
            max_retry_after,
        })
    }
}

fn request_classes(
    settings: &Fields,
    family: &Fields,
) -> Result<Named<RequestClass>, SettingsError> {
    let calls = list(family, "classCalls");
    let skip_worths = list(family, "classSkipWorth");
    let (mut indices, mut entries) = (BTreeMap::new(), Vec::new());
    for (index, entry) in list(settings, "requestClasses").iter().enumerate() {
        let class = entry_object(entry, "requestClasses")?;
        indices.insert(text_of(class, "name")?.to_owned(), index);
        let makes_calls = calls.get(index).and_then(Value::as_bool).unwrap_or(true);
        let skip_worth = skip_worths
            .get(index)
            .and_then(Value::as_f64)
            .unwrap_or(0.0);
        entries.push(RequestClass {
            latency_objective: duration(class, "aimS")?,
            deadline: duration(class, "deadlineS")?,
            value: number(class, "value")?,
            late_share: optional(class, "lateWorth")?.unwrap_or(0.0),
            degraded_share: if makes_calls { skip_worth } else { 0.0 },
            repeatability: repeatability(class)?,
        });
    }
    Ok(Named { indices, entries })
}

fn repeatability(class: &Fields) -> Result<Repeatability, SettingsError> {
    match text_of(class, "effect")? {
        "free" => Ok(Repeatability::Idempotent),
        "guarded" => Ok(Repeatability::IdempotentWithKey(duration(
            class, "windowS",
        )?)),
        "single_shot" => Ok(Repeatability::NonIdempotent),
        other => Err(SettingsError::UnknownEffect {
            word: other.to_owned(),
        }),
    }
}

/// The tenants, each with its quota in requests a second over the fleet.
fn tenant_quotas(settings: &Fields) -> Result<Named<f64>, SettingsError> {
    let (mut indices, mut entries) = (BTreeMap::new(), Vec::new());
    for (index, entry) in list(settings, "parties").iter().enumerate() {
        let tenant = entry_object(entry, "parties")?;
        indices.insert(text_of(tenant, "name")?.to_owned(), index);
        entries.push(number(tenant, "quotaRps")?);
    }
    Ok(Named { indices, entries })
}

fn cold_start(
    family: &Fields,
    duties: &Fields,
    machine: Machine,
) -> Result<Option<ColdStart>, SettingsError> {
    if !machine.is_cold && !flag(family, "cold") {
        return Ok(None);
    }
    Ok(Some(ColdStart {
        began: machine.began,
        initial_speed: number(duties, "coldShare")?,
        warm_up: duration(duties, "rampTimeS")?,
    }))
}

fn downstream_share(family: &Fields) -> Result<Option<DownstreamShare>, SettingsError> {
    if text_of(family, "below")? != "shared" {
        return Ok(None);
    }
    Ok(Some(DownstreamShare {
        concurrency: number(family, "callShare")?,
        window: duration(family, "callsOverS")?,
        linger: duration(family, "lingersS")?,
    }))
}

fn load_signal(family: &Fields) -> Result<LoadSignal, SettingsError> {
    Ok(match text_of(family, "say")? {
        "level" => LoadSignal::Level,
        "credit" => LoadSignal::Credit,
        "weight" => LoadSignal::Weight,
        _ => LoadSignal::Nothing,
    })
}

fn max_retry_after(permissions: &Fields) -> Result<Duration, SettingsError> {
    if flag(permissions, "retryAfter") {
        duration(permissions, "maxRetryAfterS")
    } else {
        Ok(Duration::ZERO)
    }
}

fn client_connections(family: &Fields) -> Result<ClientConnections, SettingsError> {
    Ok(ClientConnections {
        callers: unsigned(family, "callers")? as usize,
        idle_timeout: duration(family, "idleS")?,
    })
}

fn in_flight_requests(family: &Fields) -> Result<InFlightRequests, SettingsError> {
    let memory_kb = number(family, "ramKb")?;
    let run_factor = number(family, "runMemFactor")?;
    let entry_kb = optional(family, "entryKb")?.unwrap_or(0.0);
    Ok(InFlightRequests::new(memory_kb, run_factor, entry_kb))
}

/// `off` says no; `drop` and `pause` yes, as do settings without the field: nodes ran so before it was read.
fn can_cancel_runs(family: &Fields) -> Result<bool, SettingsError> {
    if !family.contains_key("halt") {
        return Ok(true);
    }
    match text_of(family, "halt")? {
        "drop" | "pause" => Ok(true),
        "off" => Ok(false),
        other => Err(SettingsError::UnknownHalt {
            word: other.to_owned(),
        }),
    }
}

fn gauge_names(family: &Fields) -> Vec<String> {
    let names = list(family, "gauges").iter().filter_map(Value::as_str);
    names.map(str::to_owned).collect()
}

/// Zero where the field is missing, or no duration.
fn max_result_age(family: &Fields) -> Result<Duration, SettingsError> {
    let seconds = optional(family, "freshS")?.unwrap_or(0.0);
    Ok(Duration::try_from_secs_f64(seconds).unwrap_or_default())
}
