//! What a node is started with: its admission controller, and the settings that the embedding program needs itself.

use crate::fields::{
    duration, entry_object, flag, list, number, object, optional, text_of, unsigned, Fields,
};
use crate::{keys, SettingsError};
use rainstand::{
    AdmissionController, AdvertiserOptions, ClientConnections, ColdStart, Components,
    ConcurrencyLimiter, DownstreamLimiter, DownstreamShare, InFlightRequests, LoadAdvertiser,
    LoadSignal, Repeatability, RequestClass, TenantQuotas,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// Everything that the program around an admission controller takes from the settings.
pub struct Start {
    /// The controller, which has not begun.
    pub controller: AdmissionController,
    /// Indices of the request classes by name.
    pub classes: BTreeMap<String, usize>,
    /// Indices of the tenants by name.
    pub tenants: BTreeMap<String, usize>,
    /// Time limits of the request classes, by index.
    pub class_limits: Vec<ClassLimits>,
    /// Whether runs can be cancelled.
    pub can_cancel_runs: bool,
    /// Names of the machine's gauges, in the order in which their values are sent.
    pub gauges: Vec<String>,
    /// How long the answer to an idempotent request may be reused for other requests.
    pub max_result_age: Duration,
    /// How long callers keep an idle connection open.
    pub idle_timeout: Duration,
    /// Whether the service registry uses the health that a node reports.
    pub registry_follows_health: bool,
    /// Requests that arrive later than this after a shutdown notice are rejected.
    pub drain_grace: Duration,
    /// The longest retry-after that callers respect; zero if they cannot be asked to wait.
    pub max_retry_after: Duration,
}

/// Time limits of one request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassLimits {
    /// Time after arrival by which a request must be answered.
    pub deadline: Duration,
    /// How long repeats are identified by their key, if requests carry one.
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

/// Facts about the machine that a node starts on, in addition to the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// When it started its work, on the controller's clock.
    pub started: Duration,
    /// Whether it was cold then, even if the settings do not say so.
    pub is_cold: bool,
    /// Whether an earlier process of this node may have run on it.
    pub had_predecessor: bool,
}

/// Request classes or tenants, with their indices by name.
struct Named<T> {
    indices: BTreeMap<String, usize>,
    entries: Vec<T>,
}

impl Start {
    /// Reads the settings.
    ///
    /// `seed`: seed of the controller's random numbers.
    ///
    /// # Errors
    /// If a field is missing or invalid; the first such field.
    pub fn read(settings: &Fields, seed: u64, machine: Machine) -> Result<Self, SettingsError> {
        let machine_info = object(settings, keys::MACHINE)?;
        let bounds = object(settings, keys::BOUNDS)?;
        let permissions = object(settings, keys::PERMISSIONS)?;
        let classes = request_classes(settings, machine_info)?;
        let class_limits = classes.entries.iter().map(ClassLimits::of).collect();
        let tenants = tenant_quotas(settings)?;
        let servers = unsigned(settings, keys::SERVERS)? as usize;
        let cold_start = cold_start(machine_info, bounds, machine)?;
        let share = downstream_share(machine_info)?;
        let signal = load_signal(machine_info)?;
        let max_retry_after = max_retry_after(permissions)?;
        let clients = object(settings, keys::CLIENTS)?;
        let retries_marked = flag(clients, keys::clients::MARK_RETRIES);
        let cores = unsigned(machine_info, keys::machine::CORES)? as usize;
        let clients = client_connections(machine_info)?;
        let overload_factor = number(bounds, keys::bounds::OVERLOAD_FACTOR)?;
        let by_work =
            settings.get(keys::VALUE_COUNTED_BY).and_then(Value::as_str) == Some(keys::BY_WORK);
        let in_flight = in_flight_requests(machine_info)?;
        let drain_grace = duration(bounds, keys::bounds::DRAIN_GRACE)?;
        let advertiser = AdvertiserOptions {
            signal,
            max_retry_after,
            drain_grace,
            retries_marked,
            clients,
        };
        // A machine that starts cold replaces one that was running until then.
        let downstream = if machine.had_predecessor || cold_start.is_some() {
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
            can_cancel_runs: can_cancel_runs(machine_info)?,
            gauges: gauge_names(machine_info),
            max_result_age: max_result_age(machine_info)?,
            idle_timeout: clients.idle_timeout,
            registry_follows_health: flag(machine_info, keys::machine::REGISTRY_FOLLOWS_HEALTH),
            drain_grace,
            max_retry_after,
        })
    }
}

fn request_classes(
    settings: &Fields,
    machine_info: &Fields,
) -> Result<Named<RequestClass>, SettingsError> {
    let calls = list(machine_info, keys::machine::CLASS_CALLS);
    let degraded_shares = list(machine_info, keys::machine::CLASS_DEGRADED_SHARES);
    let (mut indices, mut entries) = (BTreeMap::new(), Vec::new());
    for (index, entry) in list(settings, keys::REQUEST_CLASSES).iter().enumerate() {
        let class = entry_object(entry, keys::REQUEST_CLASSES)?;
        indices.insert(text_of(class, keys::NAME)?.to_owned(), index);
        let makes_calls = calls.get(index).and_then(Value::as_bool).unwrap_or(true);
        let degraded_share = degraded_shares
            .get(index)
            .and_then(Value::as_f64)
            .unwrap_or(0.0);
        entries.push(RequestClass {
            latency_objective: duration(class, keys::class::LATENCY_OBJECTIVE)?,
            deadline: duration(class, keys::class::DEADLINE)?,
            value: number(class, keys::class::VALUE)?,
            late_share: optional(class, keys::class::LATE_SHARE)?.unwrap_or(0.0),
            degraded_share: if makes_calls { degraded_share } else { 0.0 },
            repeatability: repeatability(class)?,
        });
    }
    Ok(Named { indices, entries })
}

fn repeatability(class: &Fields) -> Result<Repeatability, SettingsError> {
    match text_of(class, keys::class::REPEATABILITY)? {
        "free" => Ok(Repeatability::Idempotent),
        "guarded" => Ok(Repeatability::IdempotentWithKey(duration(
            class,
            keys::class::KEY_WINDOW,
        )?)),
        "single_shot" => Ok(Repeatability::NonIdempotent),
        other => Err(SettingsError::UnknownRepeatability {
            word: other.to_owned(),
        }),
    }
}

/// The tenants, each with its quota in requests per second over the fleet.
fn tenant_quotas(settings: &Fields) -> Result<Named<f64>, SettingsError> {
    let (mut indices, mut entries) = (BTreeMap::new(), Vec::new());
    for (index, entry) in list(settings, keys::TENANTS).iter().enumerate() {
        let tenant = entry_object(entry, keys::TENANTS)?;
        indices.insert(text_of(tenant, keys::NAME)?.to_owned(), index);
        entries.push(number(tenant, keys::tenant::QUOTA)?);
    }
    Ok(Named { indices, entries })
}

fn cold_start(
    machine_info: &Fields,
    bounds: &Fields,
    machine: Machine,
) -> Result<Option<ColdStart>, SettingsError> {
    if !machine.is_cold && !flag(machine_info, keys::machine::IS_COLD) {
        return Ok(None);
    }
    Ok(Some(ColdStart {
        began: machine.started,
        initial_speed: number(bounds, keys::bounds::COLD_SPEED)?,
        warm_up: duration(bounds, keys::bounds::WARM_UP)?,
    }))
}

fn downstream_share(machine_info: &Fields) -> Result<Option<DownstreamShare>, SettingsError> {
    if text_of(machine_info, keys::machine::DOWNSTREAM)? != keys::machine::DOWNSTREAM_SHARED {
        return Ok(None);
    }
    Ok(Some(DownstreamShare {
        concurrency: number(machine_info, keys::machine::SHARE_CONCURRENCY)?,
        window: duration(machine_info, keys::machine::SHARE_WINDOW)?,
        linger: duration(machine_info, keys::machine::SHARE_LINGER)?,
    }))
}

fn load_signal(machine_info: &Fields) -> Result<LoadSignal, SettingsError> {
    Ok(match text_of(machine_info, keys::machine::LOAD_SIGNAL)? {
        "level" => LoadSignal::Level,
        "credit" => LoadSignal::Credit,
        "weight" => LoadSignal::Weight,
        _ => LoadSignal::Nothing,
    })
}

fn max_retry_after(permissions: &Fields) -> Result<Duration, SettingsError> {
    if flag(permissions, keys::permissions::RETRY_AFTER) {
        duration(permissions, keys::permissions::MAX_RETRY_AFTER)
    } else {
        Ok(Duration::ZERO)
    }
}

fn client_connections(machine_info: &Fields) -> Result<ClientConnections, SettingsError> {
    Ok(ClientConnections {
        callers: unsigned(machine_info, keys::machine::CALLERS)? as usize,
        idle_timeout: duration(machine_info, keys::machine::IDLE_TIMEOUT)?,
    })
}

fn in_flight_requests(machine_info: &Fields) -> Result<InFlightRequests, SettingsError> {
    let memory_kb = number(machine_info, keys::machine::MEMORY)?;
    let run_memory_factor = number(machine_info, keys::machine::RUN_MEMORY_FACTOR)?;
    let cached_result_kb =
        optional(machine_info, keys::machine::CACHED_RESULT_MEMORY)?.unwrap_or(0.0);
    Ok(InFlightRequests::new(
        memory_kb,
        run_memory_factor,
        cached_result_kb,
    ))
}

/// `off` means no; `drop` and `pause` mean yes. A missing field means yes: nodes behaved so before the field was read.
fn can_cancel_runs(machine_info: &Fields) -> Result<bool, SettingsError> {
    if !machine_info.contains_key(keys::machine::CANCELLATION) {
        return Ok(true);
    }
    match text_of(machine_info, keys::machine::CANCELLATION)? {
        "drop" | "pause" => Ok(true),
        "off" => Ok(false),
        other => Err(SettingsError::UnknownCancellation {
            word: other.to_owned(),
        }),
    }
}

fn gauge_names(machine_info: &Fields) -> Vec<String> {
    let names = list(machine_info, keys::machine::GAUGES)
        .iter()
        .filter_map(Value::as_str);
    names.map(str::to_owned).collect()
}

/// Zero if the field is missing or not a valid duration.
fn max_result_age(machine_info: &Fields) -> Result<Duration, SettingsError> {
    let seconds = optional(machine_info, keys::machine::MAX_RESULT_AGE)?.unwrap_or(0.0);
    Ok(Duration::try_from_secs_f64(seconds).unwrap_or_default())
}
