//! Rows of configuration distribution: times, rates and costs.

use super::scenario::{simulate, FleetSpec, Measurements, Outage};
use super::{identity, to_io_error, CONFIG_SERVERS, STRIDE};
use crate::scale::decisions::compiled;
use crate::scale::fit::Growth;
use crate::scale::measure::own_cpu;
use crate::scale::{limits, Effort, Paths, Quantity, Row, Sizes};
use rainstand_config::schema::Configuration;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::frames::ServerMessage;
use rainstand_config_distribution::snapshot;
use rainstand_config_distribution::subscriber::Subscriber;
use rainstand_test_servers::size::Limited;
use std::io;
use std::time::{Duration, Instant};

/// Changes per minute in a burst.
const BURST_PER_MINUTE: u32 = 100;
/// Time between two changes of a burst.
const BURST_INTERVAL: Duration = Duration::from_millis(600);
/// Largest fraction of the configuration that hollow nodes load; distribution of changes does not depend on it.
const MAX_HOLLOW_PART: f64 = 0.02;
/// Limit of attachments per second to a config server.
const MAX_ATTACHMENTS: f64 = 120.0;
/// How long all config servers are down.
const ALL_SERVERS_DOWN: Duration = Duration::from_secs(30);
/// Number of changes that the mean cost is taken over.
const MEASURED_CHANGES: u64 = 40;

const DISTRIBUTION: &str =
    "hollow, virtual clock; crates/config-distribution/src/publisher/mod.rs, subscriber.rs";
const ATTACHMENT: &str = "hollow, virtual clock; crates/config-distribution/src/attachment.rs";
const SNAPSHOT: &str = "crates/config-distribution/src/snapshot.rs";

fn of_node<'a>(what: &'a str, unit: &'a str, by: &'a str) -> Quantity<'a> {
    Quantity::new("node", what, unit, by)
}

fn of_server<'a>(what: &'a str, unit: &'a str, by: &'a str) -> Quantity<'a> {
    Quantity::new("control machine", what, unit, by)
}

/// Measurements of a fleet in each scenario that has rows.
struct Runs {
    at_rest: Measurements,
    burst: Measurements,
    one_killed: Measurements,
    all_killed: Measurements,
    partitioned: Measurements,
}

/// Size of the simulated fleets.
struct FleetSize {
    nodes: usize,
    changes: usize,
}

impl FleetSize {
    fn of(sizes: &Sizes, effort: &Effort) -> Self {
        let nodes = if effort.counts_only {
            sizes.nodes.min(60)
        } else {
            sizes.nodes
        };
        let changes = if effort.counts_only {
            20
        } else if effort.hollow.len() < 5 {
            100
        } else {
            sizes.changes
        };
        Self { nodes, changes }
    }

    fn run_all(&self, sizes: &Sizes, configuration: &Configuration) -> io::Result<Runs> {
        let run = |changes, interval, outage| {
            let nodes = self.nodes;
            let spec = FleetSpec {
                nodes,
                changes,
                interval,
                outage,
            };
            simulate(&spec, configuration)
        };
        let changes = self.changes;
        // At rest: the changes of a day, spread evenly.
        let day = Duration::from_secs_f64(limits::DAY_S / sizes.changes.max(1) as f64);
        Ok(Runs {
            at_rest: run((changes / 20).max(4), day, Outage::None)?,
            burst: run(changes, BURST_INTERVAL, Outage::None)?,
            one_killed: run(changes.min(400), BURST_INTERVAL, Outage::OneKilled)?,
            all_killed: run(
                changes.min(100),
                BURST_INTERVAL,
                Outage::AllKilled(ALL_SERVERS_DOWN),
            )?,
            partitioned: run((changes / 24).max(4), day, Outage::Partitioned)?,
        })
    }
}

/// All rows of configuration distribution.
///
/// # Errors
/// If a fleet does not converge on one version.
pub fn rows(sizes: &Sizes, effort: &Effort, _: &Paths) -> io::Result<Vec<Row>> {
    let part = effort.parts[0].min(MAX_HOLLOW_PART);
    let hollow_configuration = compiled(&sizes.configuration(part, Limited::Tenants))?;
    let fleet_size = FleetSize::of(sizes, effort);
    let runs = fleet_size.run_all(sizes, &hollow_configuration)?;
    let plain = |quantity: &Quantity<'_>, measured: Option<f64>| {
        Row::plain(
            quantity,
            sizes.nodes as f64,
            fleet_size.nodes as f64,
            measured,
        )
    };
    let mut rows = Vec::new();
    rows.extend(time_rows(&runs, &plain));
    rows.extend(byte_rows(&runs, &plain));
    rows.extend(server_rows(&runs, &plain));
    measure_snapshots(sizes, effort, &mut rows)?;
    if !effort.counts_only {
        measure_by_nodes(sizes, &hollow_configuration, fleet_size.changes, &mut rows)?;
        measure_costs(sizes, effort, &mut rows)?;
    }
    Ok(rows)
}

/// A row of the time until changes are confirmed.
struct TimeRow<'r> {
    what: &'static str,
    /// Fraction of the confirmations within that time.
    part: f64,
    run: &'r Measurements,
    note: &'static str,
    has_limit: bool,
}

/// All rows of confirmation times.
fn times_of(runs: &Runs) -> [TimeRow<'_>; 8] {
    let time = |what, part, run, note| TimeRow {
        what,
        part,
        run,
        note,
        has_limit: true,
    };
    [
        time(
            "a change, one in half a minute: commit to the last confirmation, 99th of 100",
            0.99,
            &runs.at_rest,
            DISTRIBUTION,
        ),
        time(
            "a change, one in half a minute: commit to the last confirmation, worst",
            1.0,
            &runs.at_rest,
            DISTRIBUTION,
        ),
        time(
            "a change in a burst of 100 a minute: commit to confirmation, 99th of 100",
            0.99,
            &runs.burst,
            DISTRIBUTION,
        ),
        time(
            "a change in a burst of 100 a minute: commit to confirmation, worst",
            1.0,
            &runs.burst,
            DISTRIBUTION,
        ),
        time(
            "one control machine killed in a burst: commit to confirmation, 99th of 100",
            0.99,
            &runs.one_killed,
            ATTACHMENT,
        ),
        time(
            "one control machine killed in a burst: commit to confirmation, worst",
            1.0,
            &runs.one_killed,
            ATTACHMENT,
        ),
        time(
            "a parted region is back: return to confirmation of all that it missed, worst",
            1.0,
            &runs.partitioned,
            ATTACHMENT,
        ),
        TimeRow {
            has_limit: false,
            ..time(
                "all control machines gone for 30 s: commit to confirmation, worst",
                1.0,
                &runs.all_killed,
                ATTACHMENT,
            )
        },
    ]
}

fn time_rows(runs: &Runs, plain: &impl Fn(&Quantity<'_>, Option<f64>) -> Row) -> Vec<Row> {
    let row = |time: TimeRow<'_>| {
        let limit = time.has_limit.then_some(limits::IN_FORCE_S);
        let quantity = of_node(time.what, "s", "nodes").maybe_limit(limit);
        plain(
            &quantity.note(time.note).counted(),
            time.run.confirmation_time(time.part),
        )
    };
    times_of(runs).map(row).into()
}

fn byte_rows(runs: &Runs, plain: &impl Fn(&Quantity<'_>, Option<f64>) -> Row) -> Vec<Row> {
    let rates = [
        (
            "control frames at 2,800 changes a day, the busiest process",
            &runs.at_rest,
        ),
        (
            "control frames in a burst of 100 changes a minute, the busiest process",
            &runs.burst,
        ),
        (
            "control frames while a region is parted, the busiest process",
            &runs.partitioned,
        ),
    ];
    let row = |(what, run): (&str, &Measurements)| {
        let quantity = of_node(what, "B/s", "nodes")
            .limit(limits::CONTROL_BYTES)
            .note(DISTRIBUTION)
            .counted();
        plain(&quantity, Some(run.max_bytes_per_second))
    };
    rates.into_iter().map(row).collect()
}

fn server_rows(runs: &Runs, plain: &impl Fn(&Quantity<'_>, Option<f64>) -> Row) -> Vec<Row> {
    let attachments = |what, run: &Measurements| {
        let quantity = of_server(what, "a second", "nodes")
            .limit(MAX_ATTACHMENTS)
            .note(ATTACHMENT)
            .counted();
        plain(&quantity, Some(run.max_attachments_per_second as f64))
    };
    let snapshots = of_server(
        "snapshots sent in a burst to those who were not behind",
        "snapshots",
        "nodes",
    );
    vec![
        attachments(
            "attachments in the busiest second, one machine killed",
            &runs.one_killed,
        ),
        attachments(
            "attachments in the busiest second, all machines gone and back",
            &runs.all_killed,
        ),
        plain(
            &snapshots.note(DISTRIBUTION).counted(),
            Some(runs.burst.snapshots as f64),
        ),
    ]
}

/// Rows of the size of a snapshot, and of sending one at each change, for comparison with deltas.
fn measure_snapshots(sizes: &Sizes, effort: &Effort, rows: &mut Vec<Row>) -> io::Result<()> {
    let mut points = Vec::new();
    for part in effort.parts.iter().copied() {
        let configuration = compiled(&sizes.configuration(part, Limited::PerTenantOnRoutes))?;
        let state = ConfigState::from_configuration(&configuration).map_err(to_io_error)?;
        let packed = snapshot::encode(1, &state).map_err(to_io_error)?;
        points.push((part * sizes.tenants as f64, packed.len() as f64));
    }
    let not_built = "not built: to compare with deltas";
    let fleet = [
        (
            "a start with nothing in hand: the packed snapshot",
            "B",
            SNAPSHOT,
            1.0,
        ),
        (
            "the whole, packed, at each of 2,800 changes a day",
            "B/s",
            not_built,
            sizes.changes as f64 / limits::DAY_S,
        ),
        (
            "the whole, packed, at each change of a burst",
            "B/s",
            not_built,
            f64::from(BURST_PER_MINUTE) / 60.0,
        ),
    ];
    for (what, unit, note, times) in fleet {
        let quantity = of_node(what, unit, "tenants").note(note).counted();
        let size = sizes.tenants as f64;
        rows.push(Row::fitted(&quantity, &points, size, Growth::Linear, times));
    }
    Ok(())
}

/// Rows of the protocol code's processor time, by number of nodes.
fn measure_by_nodes(
    sizes: &Sizes,
    hollow_configuration: &Configuration,
    changes: usize,
    rows: &mut Vec<Row>,
) -> io::Result<()> {
    let (mut servers, mut nodes) = (Vec::new(), Vec::new());
    for part in [0.15, 0.35, 0.6, 1.0] {
        let count = ((sizes.nodes as f64 * part) as usize).max(CONFIG_SERVERS);
        let spec = FleetSpec {
            nodes: count,
            changes: changes.min(200),
            interval: BURST_INTERVAL,
            outage: Outage::None,
        };
        let run = simulate(&spec, hollow_configuration)?;
        let seconds = run.simulated_time.as_secs_f64();
        let percent = |cpu: Duration, of: usize| cpu.as_secs_f64() / seconds / of as f64 * 100.0;
        servers.push((count as f64, percent(run.servers_cpu, CONFIG_SERVERS)));
        nodes.push((count as f64, percent(run.nodes_cpu, count)));
    }
    let size = sizes.nodes as f64;
    let server = of_server(
        "a burst of 100 changes a minute: time of the deciding code, a machine of six",
        "% of a core",
        "nodes",
    )
    .note("hollow: the deciding code and its frames, without sockets; crates/config-distribution/src/publisher/mod.rs");
    rows.push(Row::fitted(&server, &servers, size, Growth::Linear, 1.0));
    let node = of_node(
        "a burst of 100 changes a minute: time of the deciding code, a process",
        "% of a core",
        "nodes",
    )
    .limit(limits::CONTROL_CPU)
    .note(
        "hollow, without putting it into force; crates/config-distribution/src/subscriber/mod.rs",
    );
    rows.push(Row::fitted(&node, &nodes, size, Growth::Constant, 1.0));
    Ok(())
}

/// Rows of the cost of a change, and of encoding and decoding a snapshot, by size of the configuration.
fn measure_costs(sizes: &Sizes, effort: &Effort, rows: &mut Vec<Row>) -> io::Result<()> {
    let (mut change, mut pack, mut unpack) = (Vec::new(), Vec::new(), Vec::new());
    for part in effort.parts.iter().copied() {
        let size = part * sizes.tenants as f64;
        let configuration = compiled(&sizes.configuration(part, Limited::PerTenantOnRoutes))?;
        let state = ConfigState::from_configuration(&configuration).map_err(to_io_error)?;
        let started = Instant::now();
        let packed = snapshot::encode(1, &state).map_err(to_io_error)?;
        pack.push((size, started.elapsed().as_secs_f64() * 1e3));
        let started = Instant::now();
        let unpacked = snapshot::decode(&packed).map_err(to_io_error)?;
        unpack.push((size, started.elapsed().as_secs_f64() * 1e3));
        drop(unpacked);
        let took = cost_of_changes(configuration, state)?;
        change.push((size, took.as_secs_f64() / MEASURED_CHANGES as f64 * 1e6));
    }
    let size = sizes.tenants as f64;
    let cost = of_node(
        "a change of one thing: checked and put in, the deciding code",
        "us",
        "tenants",
    )
    .note("crates/config-distribution/src/delta/mod.rs");
    rows.push(Row::fitted(&cost, &change, size, Growth::Constant, 1.0));
    let pack_cost = of_server("the whole packed, once in 256 versions", "ms", "tenants");
    rows.push(Row::fitted(
        &pack_cost.note(SNAPSHOT),
        &pack,
        size,
        Growth::Linear,
        1.0,
    ));
    let unpack_cost = of_node(
        "a start with nothing in hand: the snapshot unpacked and checked",
        "ms",
        "tenants",
    );
    rows.push(Row::fitted(
        &unpack_cost.note(SNAPSHOT),
        &unpack,
        size,
        Growth::Linear,
        1.0,
    ));
    Ok(())
}

/// Processor time of a subscriber for `MEASURED_CHANGES` changes of one tenant each.
fn cost_of_changes(
    mut configuration: Configuration,
    mut state: ConfigState,
) -> io::Result<Duration> {
    let own = identity("node", 0);
    let mut subscriber = Subscriber::with_version(Duration::ZERO, own, 1, state.clone());
    let mut took = Duration::ZERO;
    for version in 2..2 + MEASURED_CHANGES {
        let position = version as usize * STRIDE % configuration.tenants.len().max(1);
        if let Some(tenant) = configuration.tenants.get_mut(position) {
            tenant.share = version;
        }
        let delta = state
            .delta_to(version - 1, version, &configuration)
            .map_err(to_io_error)?;
        state.apply(&delta).map_err(to_io_error)?;
        let frame = ServerMessage::Delta(delta).into_frame();
        let before = own_cpu();
        subscriber.on_frame(Duration::ZERO, frame);
        subscriber.on_applied(version);
        took += own_cpu().saturating_sub(before);
        drop(subscriber.take_effects());
    }
    Ok(took)
}
