//! Rows of the table: times, rates and costs of configuration distribution by size.

use super::scenario::{watch, Spec, Trouble};
use super::{refused, who, MACHINES};
use crate::scale::decisions::compiled;
use crate::scale::fit::Grows;
use crate::scale::measure::own_cpu;
use crate::scale::{limits, Effort, Named, Place, Row, Sizes};
use rainstand_config::schema::Configuration;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::snapshot;
use rainstand_config_distribution::subscriber::Subscriber;
use rainstand_test_servers::size::Limited;
use std::io;
use std::time::{Duration, Instant};

/// Changes a minute, in a burst.
const BURST: u32 = 100;

const MINUTE: Duration = Duration::from_secs(60);

fn node(
    what: &'static str,
    unit: &'static str,
    by: &'static str,
    limit: Option<f64>,
    note: &'static str,
) -> Named<'static> {
    Named {
        role: "node",
        what,
        unit,
        by,
        limit,
        note,
        counted: true,
    }
}

/// # Errors
/// If a fleet does not come to hold one version.
pub fn rows(sizes: &Sizes, effort: &Effort, _: &Place) -> io::Result<Vec<Row>> {
    let small = compiled(&sizes.configuration(effort.parts[0].min(0.02), Limited::Tenants))?;
    let nodes = if effort.counts_only {
        sizes.nodes.min(60)
    } else {
        sizes.nodes
    };
    let changes = match () {
        () if effort.counts_only => 20,
        () if effort.hollow.len() < 5 => 100,
        () => sizes.changes,
    };
    let (up_to, size) = (nodes as f64, sizes.nodes as f64);
    let every = MINUTE / BURST;
    let run = |changes, every, trouble| {
        watch(
            &Spec {
                nodes,
                changes,
                every,
                trouble,
            },
            &small,
        )
    };
    let mut rows = Vec::new();

    // At rest: one change in half a minute, as 2,800 a day are.
    let day = Duration::from_secs_f64(limits::DAY_S / sizes.changes.max(1) as f64);
    let rest = run((changes / 20).max(4), day, Trouble::None)?;
    let burst = run(changes, every, Trouble::None)?;
    let killed = run(changes.min(400), every, Trouble::OneKilled)?;
    let gone = run(
        changes.min(100),
        every,
        Trouble::AllKilled(Duration::from_secs(30)),
    )?;
    let parted = run((changes / 24).max(4), day, Trouble::Parted)?;
    let note =
        "hollow, virtual clock; crates/config-distribution/src/publisher/mod.rs, subscriber.rs";
    let attach = "hollow, virtual clock; crates/config-distribution/src/attachment.rs";
    let times = [
        (
            "a change, one in half a minute: commit to the last confirmation, 99th of 100",
            0.99,
            &rest,
            note,
        ),
        (
            "a change, one in half a minute: commit to the last confirmation, worst",
            1.0,
            &rest,
            note,
        ),
        (
            "a change in a burst of 100 a minute: commit to confirmation, 99th of 100",
            0.99,
            &burst,
            note,
        ),
        (
            "a change in a burst of 100 a minute: commit to confirmation, worst",
            1.0,
            &burst,
            note,
        ),
        (
            "one control machine killed in a burst: commit to confirmation, 99th of 100",
            0.99,
            &killed,
            attach,
        ),
        (
            "one control machine killed in a burst: commit to confirmation, worst",
            1.0,
            &killed,
            attach,
        ),
        (
            "a parted region is back: return to confirmation of all that it missed, worst",
            1.0,
            &parted,
            attach,
        ),
        (
            "all control machines gone for 30 s: commit to confirmation, worst",
            1.0,
            &gone,
            attach,
        ),
    ];
    for (what, part, seen, note) in times {
        let limit = (!what.starts_with("all control")).then_some(limits::IN_FORCE_S);
        rows.push(Row::plain(
            &node(what, "s", "nodes", limit, note),
            size,
            up_to,
            seen.within(part),
        ));
    }
    let bytes = Some(limits::CONTROL_BYTES);
    let rates = [
        (
            "control frames at 2,800 changes a day, the busiest process",
            rest.most_bytes,
        ),
        (
            "control frames in a burst of 100 changes a minute, the busiest process",
            burst.most_bytes,
        ),
        (
            "control frames while a region is parted, the busiest process",
            parted.most_bytes,
        ),
    ];
    for (what, rate) in rates {
        rows.push(Row::plain(
            &node(what, "B/s", "nodes", bytes, note),
            size,
            up_to,
            Some(rate),
        ));
    }
    let machine = |what, unit, note| Named {
        role: "control machine",
        ..node(what, unit, "nodes", None, note)
    };
    for (what, seen) in [
        (
            "attachments in the busiest second, one machine killed",
            &killed,
        ),
        (
            "attachments in the busiest second, all machines gone and back",
            &gone,
        ),
    ] {
        let named = Named {
            limit: Some(120.0),
            ..machine(what, "a second", attach)
        };
        rows.push(Row::plain(
            &named,
            size,
            up_to,
            Some(seen.most_attached as f64),
        ));
    }
    let named = machine(
        "snapshots sent in a burst to those who were not behind",
        "snapshots",
        note,
    );
    rows.push(Row::plain(
        &named,
        size,
        up_to,
        Some(burst.snapshots as f64),
    ));

    measure_snapshots(sizes, effort, &mut rows)?;
    if !effort.counts_only {
        by_nodes(sizes, &small, changes, &mut rows)?;
        costs(sizes, effort, &mut rows)?;
    }
    Ok(rows)
}

/// The whole at each change, to compare with: packed bytes by size.
fn measure_snapshots(sizes: &Sizes, effort: &Effort, rows: &mut Vec<Row>) -> io::Result<()> {
    let mut points = Vec::new();
    for part in effort.parts.iter().copied() {
        let state = ConfigState::from_configuration(&compiled(
            &sizes.configuration(part, Limited::PerTenantOnRoutes),
        )?)
        .map_err(refused)?;
        points.push((
            part * sizes.tenants as f64,
            snapshot::encode(1, &state).map_err(refused)?.len() as f64,
        ));
    }
    let size = sizes.tenants as f64;
    let note = "crates/config-distribution/src/snapshot.rs";
    let packed = node(
        "a start with nothing in hand: the packed snapshot",
        "B",
        "tenants",
        None,
        note,
    );
    rows.push(Row::fitted(&packed, &points, size, Grows::Line, 1.0));
    let note = "not built: to compare with deltas";
    // A comparison: nothing is held against it.
    let limit = None;
    let sent = node(
        "the whole, packed, at each of 2,800 changes a day",
        "B/s",
        "tenants",
        limit,
        note,
    );
    let rate = sizes.changes as f64 / limits::DAY_S;
    rows.push(Row::fitted(&sent, &points, size, Grows::Line, rate));
    let sent = node(
        "the whole, packed, at each change of a burst",
        "B/s",
        "tenants",
        limit,
        note,
    );
    rows.push(Row::fitted(
        &sent,
        &points,
        size,
        Grows::Line,
        f64::from(BURST) / 60.0,
    ));
    Ok(())
}

/// Processor time of the deciding code by the fleet's size.
fn by_nodes(
    sizes: &Sizes,
    small: &Configuration,
    changes: usize,
    rows: &mut Vec<Row>,
) -> io::Result<()> {
    let (mut machines, mut nodes) = (Vec::new(), Vec::new());
    for part in [0.15, 0.35, 0.6, 1.0] {
        let count = ((sizes.nodes as f64 * part) as usize).max(MACHINES);
        let spec = Spec {
            nodes: count,
            changes: changes.min(200),
            every: MINUTE / BURST,
            trouble: Trouble::None,
        };
        let seen = watch(&spec, small)?;
        let seconds = seen.lasted.as_secs_f64();
        let percent = |cpu: Duration, of: usize| cpu.as_secs_f64() / seconds / of as f64 * 100.0;
        machines.push((count as f64, percent(seen.machines_cpu, MACHINES)));
        nodes.push((count as f64, percent(seen.nodes_cpu, count)));
    }
    let size = sizes.nodes as f64;
    let note =
        "hollow: the deciding code and its frames, without sockets; crates/config-distribution/src/publisher/mod.rs";
    let what = "a burst of 100 changes a minute: time of the deciding code, a machine of six";
    let named = Named {
        role: "control machine",
        counted: false,
        ..node(what, "% of a core", "nodes", None, note)
    };
    rows.push(Row::fitted(&named, &machines, size, Grows::Line, 1.0));
    let note =
        "hollow, without putting it into force; crates/config-distribution/src/subscriber/mod.rs";
    let what = "a burst of 100 changes a minute: time of the deciding code, a process";
    let named = Named {
        counted: false,
        ..node(
            what,
            "% of a core",
            "nodes",
            Some(limits::CONTROL_CPU),
            note,
        )
    };
    rows.push(Row::fitted(&named, &nodes, size, Grows::Still, 1.0));
    Ok(())
}

/// What a subscriber and a source hold, and what a change, a pack and an unpack cost, by the size of the
/// What a change, a pack and an unpack cost, by the size of the whole.
fn costs(sizes: &Sizes, effort: &Effort, rows: &mut Vec<Row>) -> io::Result<()> {
    let (mut change, mut pack, mut unpack) = (Vec::new(), Vec::new(), Vec::new());
    for part in effort.parts.iter().copied() {
        let size = part * sizes.tenants as f64;
        let configuration = compiled(&sizes.configuration(part, Limited::PerTenantOnRoutes))?;
        let state = ConfigState::from_configuration(&configuration).map_err(refused)?;
        let begun = Instant::now();
        let packed = snapshot::encode(1, &state).map_err(refused)?;
        pack.push((size, begun.elapsed().as_secs_f64() * 1e3));
        let begun = Instant::now();
        let read = snapshot::decode(&packed).map_err(refused)?;
        unpack.push((size, begun.elapsed().as_secs_f64() * 1e3));
        drop(read);
        let mut changed = configuration.clone();
        let mut one = Subscriber::with_version(Duration::ZERO, who("node", 0), 1, state.clone());
        let mut next = state;
        let mut took = Duration::ZERO;
        const CHANGES: u64 = 40;
        for k in 2..2 + CHANGES {
            let at = k as usize * 7919 % changed.tenants.len().max(1);
            if let Some(tenant) = changed.tenants.get_mut(at) {
                tenant.share = k;
            }
            let delta = next.delta_to(k - 1, k, &changed).map_err(refused)?;
            next.apply(&delta).map_err(refused)?;
            let frame =
                rainstand_config_distribution::frames::ServerMessage::Delta(delta).into_frame();
            let begun = own_cpu();
            one.on_frame(Duration::ZERO, frame);
            one.on_applied(k);
            took += own_cpu().saturating_sub(begun);
            drop(one.take_effects());
        }
        change.push((size, took.as_secs_f64() / CHANGES as f64 * 1e6));
    }
    let size = sizes.tenants as f64;
    let state = "crates/config-distribution/src/delta/mod.rs";
    let named = |what, unit, note| Named {
        counted: false,
        ..node(what, unit, "tenants", None, note)
    };
    let cost = named(
        "a change of one thing: checked and put in, the deciding code",
        "us",
        state,
    );
    rows.push(Row::fitted(&cost, &change, size, Grows::Still, 1.0));
    let note = "crates/config-distribution/src/snapshot.rs";
    let machine = |what| Named {
        role: "control machine",
        ..named(what, "ms", note)
    };
    rows.push(Row::fitted(
        &machine("the whole packed, once in 256 versions"),
        &pack,
        size,
        Grows::Line,
        1.0,
    ));
    let read = named(
        "a start with nothing in hand: the snapshot unpacked and checked",
        "ms",
        note,
    );
    rows.push(Row::fitted(&read, &unpack, size, Grows::Line, 1.0));
    Ok(())
}
