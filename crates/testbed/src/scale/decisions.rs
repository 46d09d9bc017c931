//! In-process measurements: the cost of a routing decision, and the size of compiled configurations.

use super::fit::Growth;
use super::measure::own_cpu;
use super::{limits, Effort, Paths, Quantity, Row, Sizes};
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Configuration};
use rainstand_config::source::Memory;
use rainstand_routing::fleet::{AttemptOutcome, Fleet, NextAction};
use rainstand_routing::table::Request;
use rainstand_test_servers::size::{Limited, Size};
use std::io;
use std::time::Duration;

/// Decisions per repetition, and repetitions. The cheapest repetition is used: other processes share the caches.
const DECISIONS: usize = 20_000;
const REPETITIONS: usize = 5;
/// Number of different requests, which are used in turn.
const DRAWN_REQUESTS: usize = 4_096;
/// Time between two requests; each ends after half of it.
const REQUEST_INTERVAL: Duration = Duration::from_micros(20);

/// Compiles a generated configuration.
///
/// # Errors
/// The first finding, if it does not compile.
pub fn compiled(size: &Size) -> io::Result<Configuration> {
    let outcome = rainstand_config::load(&Memory::new([("a.rain", size.rain())]), "a.rain");
    outcome.configuration.ok_or_else(|| {
        let first = outcome.findings.first();
        let message = first.map_or("no finding", |finding| &finding.message);
        io::Error::other(message.to_owned())
    })
}

/// A randomly drawn request.
struct DrawnRequest {
    tenant: Option<u16>,
    entity: String,
}

fn draw_requests(fleet: &Fleet, size: &Size) -> Vec<DrawnRequest> {
    let mut random = WyRand::new_seed(7);
    let mut draw = || {
        let tenant = random.generate_range(0..size.tenants);
        let route = random.generate_range(0..size.routes);
        DrawnRequest {
            tenant: fleet.table().tenant(&format!("t{tenant}")),
            entity: size.entity(route),
        }
    };
    (0..DRAWN_REQUESTS).map(|_| draw()).collect()
}

/// Processor time of one decision (route, limits, member, and handling of the outcome), in nanoseconds.
fn cost_of_decision(configuration: &Configuration, size: &Size) -> io::Result<f64> {
    let mut fleet = Fleet::new(configuration, "z0", 1, Duration::ZERO)
        .map_err(|error| io::Error::other(error.to_string()))?;
    let requests = draw_requests(&fleet, size);
    let class = fleet.table().request_class("check");
    let class = class.ok_or_else(|| io::Error::other("the configuration has no type `check`"))?;
    let (mut cheapest, mut now) = (Duration::MAX, Duration::ZERO);
    for _ in 0..REPETITIONS {
        let before = own_cpu();
        for k in 0..DECISIONS {
            now += REQUEST_INTERVAL;
            let drawn = &requests[k % requests.len()];
            let request = Request {
                request_class: class,
                tenant: drawn.tenant,
                entity: &drawn.entity,
                size: 900,
                ..Request::default()
            };
            if let NextAction::Dispatch(attempt, _) = fleet.on_arrival(now, &request) {
                let end = now + REQUEST_INTERVAL / 2;
                fleet.on_attempt_outcome(end, attempt, AttemptOutcome::Served);
            }
        }
        cheapest = cheapest.min(own_cpu().saturating_sub(before));
    }
    Ok(cheapest.as_nanos() as f64 / DECISIONS as f64)
}

/// Rows of the compiled configuration and of routing decisions.
///
/// # Errors
/// If a generated configuration does not compile.
pub fn rows(sizes: &Sizes, effort: &Effort, _: &Paths) -> io::Result<Vec<Row>> {
    let (mut bytes, mut costs) = (Vec::new(), Vec::new());
    for part in effort.parts.iter().copied() {
        let size = sizes.configuration(part, Limited::Tenants);
        let configuration = compiled(&size)?;
        let tenants = size.tenants as f64;
        bytes.push((tenants, schema::to_binary(&configuration).len() as f64));
        if !effort.counts_only {
            costs.push((tenants, cost_of_decision(&configuration, &size)?));
        }
    }
    let tenants = sizes.tenants as f64;
    let by = "tenants, routes with them";
    let of_machine = |what, unit| Quantity::new("control machine", what, unit, by).counted();
    let form = of_machine("a version's compiled form", "MB");
    let form = form.note("crates/config/src/schema.rs, to_binary");
    let rate = of_machine(
        "bytes a second to one process, if each change sends the whole unpacked",
        "B/s",
    )
    .limit(limits::CONTROL_BYTES)
    .note("the compiled form times the changes of a day; an upper bound without deltas");
    let changes = sizes.changes as f64 / limits::DAY_S;
    let mut rows = vec![
        Row::fitted(&form, &bytes, tenants, Growth::Linear, 1e-6),
        Row::fitted(&rate, &bytes, tenants, Growth::Linear, changes),
    ];
    if !costs.is_empty() {
        let what = "one decision: route, limits, member, end";
        let cost = Quantity::new("forwarder", what, "ms", by)
            .limit(limits::ADDED_MS)
            .note("in this process, processor time; crates/routing/src/fleet.rs");
        rows.push(Row::fitted(&cost, &costs, tenants, Growth::Constant, 1e-6));
    }
    Ok(rows)
}
