//! What runs in this process: the cost of a decision, and the size of compiled forms.

use super::fit::Grows;
use super::measure::own_cpu;
use super::{limits, Effort, Named, Place, Row, Sizes};
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Configuration};
use rainstand_config::source::Memory;
use rainstand_routing::fleet::{AttemptOutcome, Fleet, NextAction};
use rainstand_routing::table::Request;
use rainstand_test_servers::size::{Limited, Size};
use std::io;
use std::time::Duration;

/// Decisions of one turn, and turns, of which the cheapest counts: others share the caches.
const DECISIONS: usize = 20_000;
const TURNS: usize = 5;

/// # Errors
/// With the first finding, if it does not compile.
pub fn compiled(size: &Size) -> io::Result<Configuration> {
    let outcome = rainstand_config::load(&Memory::new([("a.rain", size.rain())]), "a.rain");
    outcome.configuration.ok_or_else(|| {
        let first = outcome
            .findings
            .first()
            .map_or("no finding".to_owned(), |finding| finding.message.clone());
        io::Error::other(first)
    })
}

/// Nanoseconds of one whole decision: route, limits, member, and its end.
fn decision(configuration: &Configuration, size: &Size) -> io::Result<f64> {
    let mut fleet = Fleet::new(configuration, "z0", 1, Duration::ZERO)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let mut chance = WyRand::new_seed(7);
    let tickets: Vec<(Option<u16>, String)> = (0..4_096)
        .map(|_| {
            let tenant = chance.generate_range(0..size.tenants);
            let route = chance.generate_range(0..size.routes);
            (
                fleet.table().tenant(&format!("t{tenant}")),
                size.entity(route),
            )
        })
        .collect();
    let traffic = fleet
        .table()
        .request_class("check")
        .ok_or_else(|| io::Error::other("no type"))?;
    let (mut least, mut now) = (Duration::MAX, Duration::ZERO);
    for _ in 0..TURNS {
        let before = own_cpu();
        for k in 0..DECISIONS {
            now += Duration::from_micros(20);
            let (tenant, entity) = &tickets[k % tickets.len()];
            let ticket = Request {
                request_class: traffic,
                tenant: *tenant,
                entity,
                size: 900,
                ..Request::default()
            };
            if let NextAction::Dispatch(trip, _) = fleet.on_arrival(now, &ticket) {
                fleet.on_attempt_outcome(
                    now + Duration::from_micros(10),
                    trip,
                    AttemptOutcome::Served,
                );
            }
        }
        least = least.min(own_cpu().saturating_sub(before));
    }
    Ok(least.as_nanos() as f64 / DECISIONS as f64)
}

/// Rows of what a configuration is by itself.
pub fn rows(sizes: &Sizes, effort: &Effort, _: &Place) -> io::Result<Vec<Row>> {
    let (mut bytes, mut costs) = (Vec::new(), Vec::new());
    for part in effort.parts.iter().copied() {
        let size = sizes.configuration(part, Limited::Tenants);
        let configuration = compiled(&size)?;
        let entries = size.tenants as f64;
        bytes.push((entries, schema::to_binary(&configuration).len() as f64));
        if !effort.counts_only {
            costs.push((entries, decision(&configuration, &size)?));
        }
    }
    let tenants = sizes.tenants as f64;
    let by = "tenants, routes with them";
    let each_day = sizes.changes as f64 / limits::DAY_S;
    let mut rows = vec![
        Row::fitted(
            &Named {
                role: "control machine",
                what: "a version's compiled form",
                unit: "MB",
                by,
                limit: None,
                note: "crates/config/src/schema.rs, to_binary",
                counted: true,
            },
            &bytes,
            tenants,
            Grows::Line,
            1e-6,
        ),
        Row::fitted(
            &Named {
                role: "control machine",
                what: "bytes a second to one process, if each change sends the whole unpacked",
                unit: "B/s",
                by,
                limit: Some(limits::CONTROL_BYTES),
                note: "the compiled form times the changes of a day; an upper bound without deltas",
                counted: true,
            },
            &bytes,
            tenants,
            Grows::Line,
            each_day,
        ),
    ];
    if !costs.is_empty() {
        rows.push(Row::fitted(
            &Named {
                role: "forwarder",
                what: "one decision: route, limits, member, end",
                unit: "ms",
                by,
                limit: Some(limits::ADDED_MS),
                note: "in this process, processor time; crates/routing/src/fleet.rs",
                counted: false,
            },
            &costs,
            tenants,
            Grows::Still,
            1e-6,
        ));
    }
    Ok(rows)
}
