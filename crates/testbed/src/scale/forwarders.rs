//! `rainstand forward` and `rainstand config check` as processes, by routes and tenants.

use super::decisions::compiled;
use super::fit::Grows;
use super::measure::Counted;
use super::{limits, Effort, Named, Place, Row, Sizes};
use crate::process::program;
use rainstand_config::schema;
use rainstand_test_servers::size::{Limited, Size};
use rustix::process::Signal;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// What one forwarder came to.
struct Seen {
    start_rss: f64,
    start_cpu: Duration,
    after_rss: f64,
    reload_cpu: Duration,
    /// Half of them took longer.
    reload_takes: Duration,
}

fn write(folder: &Path, name: &str, text: &[u8]) -> io::Result<PathBuf> {
    let path = folder.join(name);
    fs::write(&path, text)?;
    Ok(path)
}

/// The configuration, and one that differs from it in one rate.
fn two(size: &Size) -> (String, String) {
    let text = size.rain();
    let other = text.replacen("goal: 3.1 s", "goal: 3.2 s", 1);
    (text, other)
}

/// Starts a forwarder with a file and has it read the file anew.
fn forwarder(size: &Size, reloads: usize, place: &Place) -> io::Result<Seen> {
    let (text, other) = two(size);
    let path = write(&place.folder, "forwarder.rain", text.as_bytes())?;
    let mut command = Command::new(program("rainstand", place.programs.as_deref())?);
    command
        .args([
            "forward",
            "--listen",
            "127.0.0.1:0",
            "--zone",
            "z0",
            "--config",
        ])
        .arg(&path);
    let mut process = Counted::start(command, &place.folder.join("forwarder.log"))?;
    process.says("event=\"start\"", 1)?;
    // In ticks: what reads a file is a thread of its own, and has ended.
    let (start_rss, start_cpu) = (process.rss()?, process.ticks()?);
    let mut takes = Vec::new();
    for k in 1..=reloads {
        fs::write(&path, if k % 2 == 1 { &other } else { &text })?;
        let began = Instant::now();
        process.signal(Signal::HUP);
        process.says("event=\"version\"", k)?;
        takes.push(began.elapsed());
    }
    // Of all reloads together: one alone is some ticks.
    let reload_cpu = process.ticks()?.saturating_sub(start_cpu) / reloads.max(1) as u32;
    takes.sort_unstable();
    let reload_takes = takes.get(takes.len() / 2).copied().unwrap_or_default();
    Ok(Seen {
        start_rss,
        start_cpu,
        after_rss: process.rss()?,
        reload_cpu,
        reload_takes,
    })
}

/// Processor time and memory of `config check`, by the file.
fn check(size: &Size, place: &Place) -> io::Result<(Duration, f64)> {
    let path = write(&place.folder, "check.rain", size.rain().as_bytes())?;
    let mut command = Command::new(program("rainstand", place.programs.as_deref())?);
    command.args(["config", "check"]).arg(&path);
    Counted::start(command, &place.folder.join("check.log"))?.ends()
}

/// Memory of a forwarder that starts with the compiled form, and not with the text.
fn by_compiled(size: &Size, place: &Place) -> io::Result<f64> {
    let path = write(
        &place.folder,
        "forwarder.pb",
        &schema::to_binary(&compiled(size)?),
    )?;
    let mut command = Command::new(program("rainstand", place.programs.as_deref())?);
    command
        .args([
            "forward",
            "--listen",
            "127.0.0.1:0",
            "--zone",
            "z0",
            "--config",
        ])
        .arg(&path);
    let mut process = Counted::start(command, &place.folder.join("forwarder.log"))?;
    process.says("event=\"start\"", 1)?;
    process.rss()
}

/// # Errors
/// What could not be started; a configuration that is refused is a row.
pub fn rows(sizes: &Sizes, effort: &Effort, place: &Place) -> io::Result<Vec<Row>> {
    let by = "tenants, routes with them";
    let tenants = sizes.tenants as f64;
    let mut rows = Vec::new();
    // The same process with one route: what is above it is the configuration's.
    let one = Size {
        services: 1,
        routes: 1,
        tenants: 1,
        pools: 1,
        members: 7,
        ..sizes.configuration(1.0, Limited::None)
    };
    let base = forwarder(&one, 1, place)?.start_rss;
    for (limited, words) in [
        (Limited::Tenants, "limits on tenants"),
        (Limited::None, "no limits"),
    ] {
        if limited == Limited::None && effort.parts.len() < Effort::full().parts.len() {
            // What has no limits says how much of the rest is theirs: left out where time is short.
            continue;
        }
        let (mut start, mut after, mut cpu, mut takes, mut begins) =
            (vec![], vec![], vec![], vec![], vec![]);
        for part in &effort.parts {
            let size = sizes.configuration(*part, limited);
            let (x, seen) = (
                size.tenants as f64,
                forwarder(&size, effort.reloads, place)?,
            );
            start.push((x, seen.start_rss - base));
            after.push((x, seen.after_rss - base));
            cpu.push((x, seen.reload_cpu.as_secs_f64()));
            takes.push((x, seen.reload_takes.as_secs_f64()));
            begins.push((x, seen.start_cpu.as_secs_f64()));
        }
        let mb = Some(limits::CONTROL_MB);
        let named = |what: &'static str, unit, limit| {
            Named {
            role: "forwarder",
            what,
            unit,
            by,
            limit,
            note: "crates/routing/src/table.rs, router.rs; the process compiles the text, crates/config",
            counted: false,
        }
        };
        let what = |what: &str| format!("{what}, {words}");
        let mut add = |name: String, unit, limit, points: &[(f64, f64)], times: f64| {
            let named = Named {
                what: &name,
                ..named("", unit, limit)
            };
            rows.push(Row::fitted(&named, points, tenants, Grows::Line, times));
        };
        add(
            what("memory after its start above one route"),
            "MB",
            mb,
            &start,
            1e-6,
        );
        add(
            what("memory after reloads above one route"),
            "MB",
            mb,
            &after,
            1e-6,
        );
        if limited == Limited::Tenants {
            let share = sizes.changes as f64 / limits::DAY_S * 100.0;
            let core = Some(limits::CONTROL_CPU);
            add(
                "each change read as a whole: processor time".into(),
                "% of a core",
                core,
                &cpu,
                share,
            );
            add(
                "a change at SIGHUP until it is in force here".into(),
                "s",
                Some(limits::IN_FORCE_S),
                &takes,
                1.0,
            );
            add("processor time of a start".into(), "ms", None, &begins, 1e3);
        }
    }
    rows.push(per_tenant_on_routes(sizes, effort, place)?);
    let (mut compiled_rss, mut checks_cpu, mut checks_rss) = (vec![], vec![], vec![]);
    for part in &effort.parts {
        let size = sizes.configuration(*part, Limited::Tenants);
        let x = size.tenants as f64;
        compiled_rss.push((x, by_compiled(&size, place)? - base));
        let (cpu, most) = check(&size, place)?;
        checks_cpu.push((x, cpu.as_secs_f64()));
        checks_rss.push((x, most));
    }
    let named = |role, what, unit, limit, note| Named {
        role,
        what,
        unit,
        by,
        limit,
        note,
        counted: false,
    };
    rows.push(Row::fitted(
        &named(
            "forwarder",
            "memory after a start from the compiled form above one route, limits on tenants",
            "MB",
            Some(limits::CONTROL_MB),
            "crates/routing/src/table.rs; nothing is compiled in the process",
        ),
        &compiled_rss,
        tenants,
        Grows::Line,
        1e-6,
    ));
    rows.push(Row::fitted(
        &named(
            "control machine",
            "config check: processor time",
            "s",
            Some(limits::IN_FORCE_S),
            "crates/config",
        ),
        &checks_cpu,
        tenants,
        Grows::Line,
        1.0,
    ));
    rows.push(Row::fitted(
        &named(
            "control machine",
            "config check: most memory",
            "MB",
            None,
            "crates/config",
        ),
        &checks_rss,
        tenants,
        Grows::Line,
        1e-6,
    ));
    Ok(rows)
}

/// Whether a forwarder starts where each route limits by tenant, and up to which size.
fn per_tenant_on_routes(sizes: &Sizes, effort: &Effort, place: &Place) -> io::Result<Row> {
    let (mut up_to, mut why) = (0.0, String::new());
    let mut rss = Vec::new();
    // Far smaller ones too: what is refused at a tenth may start at a hundredth.
    let parts = [0.01, 0.025]
        .into_iter()
        .chain(effort.parts.iter().copied())
        .chain([1.0]);
    for part in parts {
        let size = sizes.configuration(part, Limited::PerTenantOnRoutes);
        match forwarder(&size, 1, place) {
            Ok(seen) => {
                up_to = size.tenants as f64;
                rss.push((up_to, seen.start_rss));
            }
            // It says why, and ends.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => {
                let words = error.to_string();
                let words = words.split(": ").skip(1).collect::<Vec<_>>().join(": ");
                why = format!(
                    "refused at {} routes and {} tenants: {words}",
                    size.routes, size.tenants
                );
                why = why
                    .replace(&place.folder.display().to_string(), "")
                    .replace(" /", " ");
            }
            Err(other) => return Err(other),
        }
    }
    let starts = up_to >= sizes.tenants as f64;
    let note = if starts {
        "crates/routing/src/router.rs".to_owned()
    } else {
        why
    };
    let mut row = Row::plain(
        &Named {
            role: "forwarder",
            what: "starts with limits per tenant on each route",
            unit: "tenants, routes with them",
            by: "tenants, routes with them",
            limit: None,
            note: &note,
            counted: false,
        },
        sizes.tenants as f64,
        up_to,
        None,
    );
    row.points = rss;
    (row.limit, row.holds) = (Some(sizes.tenants as f64), Some(starts));
    row.at_size = starts.then_some(sizes.tenants as f64);
    Ok(row)
}
