//! Measures `rainstand forward` and `rainstand config check` as processes, by routes and tenants.

use super::decisions::compiled;
use super::fit::Growth;
use super::measure::{MeasuredProcess, Usage};
use super::{limits, Effort, Paths, Quantity, Row, Sizes};
use crate::process::program;
use rainstand_config::schema;
use rainstand_test_servers::size::{Limited, Size};
use rustix::process::Signal;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The size that the rows of this module are measured against.
const BY: &str = "tenants, routes with them";
/// Additional, far smaller fractions of the requested size, used where each route has limits per tenant: a
/// configuration that is refused at a tenth may start at a hundredth.
const SMALL_PARTS: [f64; 2] = [0.01, 0.025];

/// Measurements of one forwarder; memory in bytes.
struct Measurements {
    start_rss: f64,
    start_cpu: Duration,
    reloaded_rss: f64,
    /// Mean processor time of a reload.
    reload_cpu: Duration,
    /// Median time until a reload is in force.
    reload_time: Duration,
}

fn write(folder: &Path, name: &str, text: &[u8]) -> io::Result<PathBuf> {
    let path = folder.join(name);
    fs::write(&path, text)?;
    Ok(path)
}

fn rainstand(paths: &Paths) -> io::Result<Command> {
    Ok(Command::new(program(
        "rainstand",
        paths.programs.as_deref(),
    )?))
}

/// Starts a forwarder with the configuration at `path`.
fn start(path: &Path, paths: &Paths) -> io::Result<MeasuredProcess> {
    let mut command = rainstand(paths)?;
    command
        .args(["forward", "--listen", "127.0.0.1:0"])
        .args(["--zone", "z0", "--config"])
        .arg(path);
    let mut process = MeasuredProcess::start(command, &paths.folder.join("forwarder.log"))?;
    process.wait_for_output("event=\"start\"", 1)?;
    Ok(process)
}

/// Starts a forwarder and reloads its configuration, which differs in one latency objective each time.
fn measure_forwarder(size: &Size, reloads: usize, paths: &Paths) -> io::Result<Measurements> {
    let text = size.rain();
    let other = text.replacen("goal: 3.1 s", "goal: 3.2 s", 1);
    let path = write(&paths.folder, "forwarder.rain", text.as_bytes())?;
    let mut process = start(&path, paths)?;
    // Includes ended threads: the thread that read the file has ended.
    let (start_rss, start_cpu) = (process.rss()?, process.cpu_of_all_threads()?);
    let mut times = Vec::new();
    for reload in 1..=reloads {
        fs::write(&path, if reload % 2 == 1 { &other } else { &text })?;
        let started = Instant::now();
        process.signal(Signal::HUP);
        process.wait_for_output("event=\"version\"", reload)?;
        times.push(started.elapsed());
    }
    // The mean over all reloads: a single one takes only a few clock ticks.
    let reload_cpu =
        process.cpu_of_all_threads()?.saturating_sub(start_cpu) / reloads.max(1) as u32;
    times.sort_unstable();
    Ok(Measurements {
        start_rss,
        start_cpu,
        reloaded_rss: process.rss()?,
        reload_cpu,
        reload_time: times.get(times.len() / 2).copied().unwrap_or_default(),
    })
}

/// Processor time and memory of `config check`.
fn measure_check(size: &Size, paths: &Paths) -> io::Result<Usage> {
    let path = write(&paths.folder, "check.rain", size.rain().as_bytes())?;
    let mut command = rainstand(paths)?;
    command.args(["config", "check"]).arg(&path);
    MeasuredProcess::start(command, &paths.folder.join("check.log"))?.wait_for_end()
}

/// Memory of a forwarder that starts from a compiled configuration instead of the text, in bytes.
fn measure_compiled(size: &Size, paths: &Paths) -> io::Result<f64> {
    let binary = schema::to_binary(&compiled(size)?);
    let path = write(&paths.folder, "forwarder.pb", &binary)?;
    start(&path, paths)?.rss()
}

/// All rows of forwarders.
///
/// # Errors
/// If a process cannot be started. A configuration that is refused is a row and no error.
pub fn rows(sizes: &Sizes, effort: &Effort, paths: &Paths) -> io::Result<Vec<Row>> {
    // Baseline with one route: memory above it belongs to the configuration.
    let one_route = Size {
        services: 1,
        routes: 1,
        tenants: 1,
        pools: 1,
        members: 7,
        ..sizes.configuration(1.0, Limited::None)
    };
    let base = measure_forwarder(&one_route, 1, paths)?.start_rss;
    let with_limits = Series::measure(sizes, effort, paths, Limited::Tenants, base)?;
    let mut rows = with_limits.memory_rows(sizes, "limits on tenants");
    rows.extend(with_limits.time_rows(sizes));
    // Without limits, to show how much of the memory the limits take; skipped in quick runs.
    if effort.parts.len() >= Effort::full().parts.len() {
        let without = Series::measure(sizes, effort, paths, Limited::None, base)?;
        rows.extend(without.memory_rows(sizes, "no limits"));
    }
    rows.push(limits_on_routes(sizes, effort, paths)?);
    rows.extend(compiled_and_check_rows(sizes, effort, paths, base)?);
    Ok(rows)
}

/// Measurements of forwarders by number of tenants.
#[derive(Default)]
struct Series {
    start_rss: Vec<(f64, f64)>,
    reloaded_rss: Vec<(f64, f64)>,
    reload_cpu: Vec<(f64, f64)>,
    reload_time: Vec<(f64, f64)>,
    start_cpu: Vec<(f64, f64)>,
}

impl Series {
    /// Measures at each size; memory is relative to `base`.
    fn measure(
        sizes: &Sizes,
        effort: &Effort,
        paths: &Paths,
        limited: Limited,
        base: f64,
    ) -> io::Result<Self> {
        let mut series = Self::default();
        for part in &effort.parts {
            let size = sizes.configuration(*part, limited);
            let tenants = size.tenants as f64;
            let measured = measure_forwarder(&size, effort.reloads, paths)?;
            series.start_rss.push((tenants, measured.start_rss - base));
            series
                .reloaded_rss
                .push((tenants, measured.reloaded_rss - base));
            let reload_cpu = measured.reload_cpu.as_secs_f64();
            series.reload_cpu.push((tenants, reload_cpu));
            let reload_time = measured.reload_time.as_secs_f64();
            series.reload_time.push((tenants, reload_time));
            series
                .start_cpu
                .push((tenants, measured.start_cpu.as_secs_f64()));
        }
        Ok(series)
    }

    fn memory_rows(&self, sizes: &Sizes, limits_label: &str) -> Vec<Row> {
        let row = |what: &str, points: &[(f64, f64)]| {
            let what = format!("{what}, {limits_label}");
            let quantity = of_forwarder(&what, "MB").limit(limits::CONTROL_MB);
            let size = sizes.tenants as f64;
            Row::fitted(&quantity, points, size, Growth::Linear, 1e-6)
        };
        vec![
            row("memory after its start above one route", &self.start_rss),
            row("memory after reloads above one route", &self.reloaded_rss),
        ]
    }

    fn time_rows(&self, sizes: &Sizes) -> Vec<Row> {
        let row = |quantity: Quantity<'_>, points: &[(f64, f64)], times: f64| {
            let size = sizes.tenants as f64;
            Row::fitted(&quantity, points, size, Growth::Linear, times)
        };
        let percent_of_day = sizes.changes as f64 / limits::DAY_S * 100.0;
        vec![
            row(
                of_forwarder("each change read as a whole: processor time", "% of a core")
                    .limit(limits::CONTROL_CPU),
                &self.reload_cpu,
                percent_of_day,
            ),
            row(
                of_forwarder("a change at SIGHUP until it is in force here", "s")
                    .limit(limits::IN_FORCE_S),
                &self.reload_time,
                1.0,
            ),
            row(
                of_forwarder("processor time of a start", "ms"),
                &self.start_cpu,
                1e3,
            ),
        ]
    }
}

fn of_forwarder<'a>(what: &'a str, unit: &'a str) -> Quantity<'a> {
    Quantity::new("forwarder", what, unit, BY).note(
        "crates/routing/src/table.rs, router.rs; the process compiles the text, crates/config",
    )
}

/// Rows of forwarders that start from a compiled configuration, and of `config check` of the text.
fn compiled_and_check_rows(
    sizes: &Sizes,
    effort: &Effort,
    paths: &Paths,
    base: f64,
) -> io::Result<Vec<Row>> {
    let (mut compiled_rss, mut check_cpu, mut check_memory) = (vec![], vec![], vec![]);
    for part in &effort.parts {
        let size = sizes.configuration(*part, Limited::Tenants);
        let tenants = size.tenants as f64;
        compiled_rss.push((tenants, measure_compiled(&size, paths)? - base));
        let usage = measure_check(&size, paths)?;
        check_cpu.push((tenants, usage.cpu.as_secs_f64()));
        check_memory.push((tenants, usage.peak_memory));
    }
    let row = |quantity: Quantity<'_>, points: &[(f64, f64)], times: f64| {
        let size = sizes.tenants as f64;
        Row::fitted(&quantity, points, size, Growth::Linear, times)
    };
    let what = "memory after a start from the compiled form above one route, limits on tenants";
    let of_check =
        |what, unit| Quantity::new("control machine", what, unit, BY).note("crates/config");
    Ok(vec![
        row(
            Quantity::new("forwarder", what, "MB", BY)
                .limit(limits::CONTROL_MB)
                .note("crates/routing/src/table.rs; nothing is compiled in the process"),
            &compiled_rss,
            1e-6,
        ),
        row(
            of_check("config check: processor time", "s").limit(limits::IN_FORCE_S),
            &check_cpu,
            1.0,
        ),
        row(
            of_check("config check: most memory", "MB"),
            &check_memory,
            1e-6,
        ),
    ])
}

/// Whether a forwarder starts when each route has limits per tenant, and up to which size.
fn limits_on_routes(sizes: &Sizes, effort: &Effort, paths: &Paths) -> io::Result<Row> {
    let (mut up_to, mut refusal) = (0.0, String::new());
    let mut rss = Vec::new();
    let parts = SMALL_PARTS
        .into_iter()
        .chain(effort.parts.iter().copied())
        .chain([1.0]);
    for part in parts {
        let size = sizes.configuration(part, Limited::PerTenantOnRoutes);
        match measure_forwarder(&size, 1, paths) {
            Ok(measured) => {
                up_to = size.tenants as f64;
                rss.push((up_to, measured.start_rss));
            }
            // The forwarder logged the reason and exited.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => {
                refusal = describe_refusal(&size, &error, &paths.folder);
            }
            Err(other) => return Err(other),
        }
    }
    let starts = up_to >= sizes.tenants as f64;
    let note = if starts {
        "crates/routing/src/router.rs"
    } else {
        &refusal
    };
    let what = "starts with limits per tenant on each route";
    let quantity = Quantity::new("forwarder", what, BY, BY).note(note);
    let mut row = Row::plain(&quantity, sizes.tenants as f64, up_to, None);
    row.points = rss;
    row.limit = Some(sizes.tenants as f64);
    row.holds = Some(starts);
    row.at_size = starts.then_some(sizes.tenants as f64);
    Ok(row)
}

/// The last output of a forwarder that did not start, without the path of the run's folder.
fn describe_refusal(size: &Size, error: &io::Error, folder: &Path) -> String {
    let text = error.to_string();
    let words = text.split(": ").skip(1).collect::<Vec<_>>().join(": ");
    let (routes, tenants) = (size.routes, size.tenants);
    format!("refused at {routes} routes and {tenants} tenants: {words}")
        .replace(&folder.display().to_string(), "")
        .replace(" /", " ")
}
