//! `rainstand control`: a control machine; and what operators do with one: publish a version, look how far each is.

use crate::cluster_client::exchange;
use crate::config::{read, tell_changes};
use crate::out::{json as json_line, line, Code};
use crate::pcap::trouble;
use clap::Args;
use rainstand_cluster::{status, ClusterMember, MemberOptions};
use rainstand_config::diff::diff;
use rainstand_config::schema::{Configuration, VERSION};
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::publisher::{Event, PublisherLimits};
use rainstand_config_distribution::snapshot;
use rainstand_replicated_state::member::GroupEvent;
use rainstand_replicated_state::versions::Publish;
use rainstand_routing::table::Table;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

/// From the notice to leave until what is led here is given up.
const LEAVES: Duration = Duration::from_secs(2);

#[derive(Args)]
#[command(after_help = "\
Example:
  rainstand control --config control.rain --name c1

The file's `group` block names the machines. They take no tickets; forwarders attach to the same addresses.
Signals: TERM and INT hand over and end, HUP takes the members anew.")]
pub struct Options {
    /// A `.rain` file, or a compiled one, with a `group` block
    #[arg(long)]
    config: String,
    /// Which of its members this is
    #[arg(long)]
    name: String,
}

#[derive(Args)]
pub struct Publishing {
    /// A `.rain` file, or a compiled one
    file: String,
    /// The address of a control machine in its `group` block
    #[arg(long)]
    at: SocketAddr,
    /// The version that the file was made from; the newest if not said
    #[arg(long)]
    from: Option<u64>,
    /// Show what would change, and change nothing
    #[arg(long)]
    dry_run: bool,
    /// As JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Versions {
    /// The address of a control machine in its `group` block; the others are asked too
    #[arg(long)]
    at: SocketAddr,
    /// So many of the newest
    #[arg(long, default_value_t = 16)]
    last: usize,
    #[arg(long)]
    json: bool,
}

pub fn run(options: &Options) -> io::Result<Code> {
    let configuration = match read(&options.config, false)? {
        Ok((configuration, ..)) => configuration,
        Err(code) => return Ok(code),
    };
    let Some(group) = configuration.groups.into_iter().next() else {
        return Ok(trouble(
            &options.config,
            "no `group` block names the control machines",
        ));
    };
    let lines = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .log_internal_errors(false);
    lines.with_target(false).with_ansi(false).init();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let mut hup = signal(SignalKind::hangup())?;
        let setup = MemberOptions { name: options.name.clone(), group, log: Box::new(told) };
        let group = match ClusterMember::start(setup).await {
            Ok(group) => group,
            Err(why) => return Ok(trouble(&options.config, why)),
        };
        group.serve(PublisherLimits::default(), Box::new(event));
        let listen = group.address(&options.name).map(|address| address.to_string()).unwrap_or_default();
        tracing::info!(event = "start", name = %options.name, listen = %listen, config = %options.config);
        let (again, path) = (group.clone(), options.config.clone());
        spawn_local(async move {
            while hup.recv().await.is_some() {
                let taken = match read(&path, false) {
                    Ok(Ok((configuration, ..))) => match configuration.groups.first() {
                        Some(group) => again.set_members(group),
                        None => Err("no `group` block".to_owned()),
                    },
                    Ok(Err(_)) => Err("the configuration has errors".to_owned()),
                    Err(error) => Err(error.to_string()),
                };
                match taken {
                    Ok(()) => tracing::info!(event = "group_reload"),
                    Err(why) => tracing::warn!(event = "group_reload_refused", why = %why),
                }
            }
        });
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        group.leave(LEAVES).await;
        tracing::info!(event = "end");
        Ok(Code::Good)
    })
}

/// What the group has to say, for people.
fn told(news: &GroupEvent) {
    match news {
        GroupEvent::Bootstrapped { members } => tracing::info!(event = "group_formed", members),
        GroupEvent::BecameLeader { shard, term } => {
            tracing::info!(event = "group_leads", shard, term)
        }
        GroupEvent::LostLeadership { shard } => {
            tracing::info!(event = "group_leads_no_more", shard)
        }
        GroupEvent::MembershipChanged { shard, config } => {
            tracing::info!(event = "group_members", shard, config)
        }
        GroupEvent::CaughtUp { shard, index } => {
            tracing::info!(event = "group_caught_up", shard, index)
        }
        GroupEvent::StalePeer { name, why, .. } => {
            tracing::warn!(event = "group_old_peer", name, why)
        }
        GroupEvent::StaleDisk { why } => tracing::warn!(event = "group_old_copy", why),
        GroupEvent::Diverged { shard, .. } => tracing::error!(event = "group_differs", shard),
        GroupEvent::DiskStalled => tracing::error!(event = "group_disk_stands_still"),
        GroupEvent::DiskFailed { why } => tracing::error!(event = "group_disk_failed", why),
    }
}

/// What the attached processes do, for people.
fn event(event: &Event) {
    match event {
        Event::Attached { name, version } => {
            tracing::info!(event = "control_attached", name, version)
        }
        Event::Disconnected { name } => tracing::info!(event = "control_gone", name),
        Event::AttachRejected { name } => tracing::info!(event = "control_turned_away", name),
        Event::Rejected {
            name,
            version,
            reason,
        } => {
            tracing::warn!(event = "control_refused", name, version, reason);
        }
        Event::Diverged { name, version } => {
            tracing::error!(event = "control_differs", name, version)
        }
        Event::SubscriberAhead { name, version } => {
            tracing::warn!(event = "control_ahead", name, version)
        }
        Event::Malformed { link } => tracing::warn!(event = "control_unreadable", link),
    }
}

fn asked(at: SocketAddr, words: &str) -> Result<Value, String> {
    let answer =
        exchange(at, &status::encode_question(words)).map_err(|error| error.to_string())?;
    let value: Value = serde_json::from_slice(&answer).map_err(|error| error.to_string())?;
    match value["error"].as_str() {
        Some(why) => Err(why.to_owned()),
        None => Ok(value),
    }
}

/// The newest version there.
fn newest(at: SocketAddr) -> Result<(u64, ConfigState), String> {
    let packed =
        exchange(at, &status::encode_question("whole")).map_err(|error| error.to_string())?;
    if packed.is_empty() {
        return Ok((0, ConfigState::default()));
    }
    let decoded = snapshot::decode(&packed).map_err(|why| why.to_string())?;
    Ok((decoded.version, decoded.state))
}

pub fn publish(asks: &Publishing) -> io::Result<Code> {
    let configuration = match read(&asks.file, asks.json)? {
        Ok((configuration, ..)) => configuration,
        Err(code) => return Ok(code),
    };
    // What a process would refuse is refused here.
    if let Err(why) = Table::new(&configuration) {
        eprintln!("rainstand: {}: {why}", asks.file);
        return Ok(Code::Found);
    }
    let (at, there) = (asks.at.to_string(), asked(asks.at, "versions 1"));
    let (version, state) = match there.and_then(|_| newest(asks.at)) {
        Ok(newest) => newest,
        Err(why) => return Ok(trouble(&at, why)),
    };
    let from = asks.from.unwrap_or(version);
    if from != version {
        let why = format!("made from version {from}, but version {version} is there");
        return outcome(&json!({ "conflict": why }), asks.json);
    }
    let before = state.configuration().map_err(io::Error::other)?;
    let before = Configuration {
        version: VERSION,
        ..before
    };
    let changes = diff(&before, &configuration);
    tell_changes(&changes, asks.json)?;
    let publish = match Publish::from_configuration(&state, from, &configuration) {
        Ok(publish) => publish,
        Err(why) => return outcome(&json!({"refused": why.to_string()}), asks.json),
    };
    if changes.is_empty() && before == configuration {
        return outcome(&json!({ "unchanged": version }), asks.json);
    }
    if asks.dry_run {
        return outcome(&json!({ "would": from + 1 }), asks.json);
    }
    let answer = exchange(asks.at, &status::encode_publish(&publish));
    let answer =
        answer.and_then(|answer| serde_json::from_slice(&answer).map_err(io::Error::other));
    match answer {
        Ok(answer) => outcome(&answer, asks.json),
        // It was sent: whether it was heard is not known.
        Err(error) => outcome(&json!({"unknown": error.to_string()}), asks.json),
    }
}

/// What became of a version, in words or as it is.
fn outcome(answer: &Value, json: bool) -> io::Result<Code> {
    let text = |key: &str| answer[key].as_str().map(str::to_owned);
    let code = if answer["unknown"].is_string() {
        Code::Use
    } else if answer["conflict"].is_string() || answer["refused"].is_string() {
        Code::Found
    } else {
        Code::Good
    };
    if json {
        json_line(answer)?;
        return Ok(code);
    }
    if let Some(version) = answer["committed"].as_u64() {
        line(&format!("version {version} is committed"))?;
    } else if let Some(version) = answer["unchanged"].as_u64() {
        line(&format!("nothing changes: version {version} says the same"))?;
    } else if let Some(version) = answer["would"].as_u64() {
        line(&format!("would be version {version}; nothing was changed"))?;
    } else if let Some(why) = text("conflict") {
        eprintln!("rainstand: conflict: {why}");
    } else if let Some(why) = text("refused") {
        eprintln!("rainstand: refused: {why}");
    } else {
        eprintln!(
            "rainstand: not known whether it is committed: {}",
            text("unknown").unwrap_or_default()
        );
    }
    Ok(code)
}

/// One version over all machines that answered.
#[derive(Default)]
struct Row {
    at_ms: Option<u64>,
    things: u64,
    confirmed: u64,
    refused: u64,
    behind: u64,
    slowest: Option<(u64, String)>,
}

pub fn versions(asks: &Versions) -> io::Result<Code> {
    let words = format!("versions {}", asks.last);
    let first = match asked(asks.at, &words) {
        Ok(first) => first,
        Err(why) => return Ok(trouble(&asks.at.to_string(), why)),
    };
    let mut machines = vec![(
        first["name"].as_str().unwrap_or("").to_owned(),
        Ok(first.clone()),
    )];
    for member in first["members"].as_array().into_iter().flatten() {
        let name = member["name"].as_str().unwrap_or("");
        if let Some(at) = member["address"].as_str().and_then(|at| at.parse().ok()) {
            if name != machines[0].0 {
                machines.push((name.to_owned(), asked(at, &words)));
            }
        }
    }
    let newest = machines
        .iter()
        .filter_map(|(_, told)| told.as_ref().ok()?["version"].as_u64())
        .max();
    let newest = newest.unwrap_or(0);
    let rows = over_all(&machines, newest, asks.last);
    let refusals: Vec<&Value> = machines
        .iter()
        .filter_map(|(_, told)| told.as_ref().ok()?["refusals"].as_array())
        .flatten()
        .collect();
    let ill = machines.iter().any(|(_, told)| told.is_err()) || !refusals.is_empty();
    if asks.json {
        let rows = rows.iter().map(|(version, row)| {
            let slowest = row.slowest.as_ref().map(|(holds, name)| json!({"name": name, "version": holds}));
            json!({"version": version, "at_ms": row.at_ms, "things": row.things, "confirmed": row.confirmed,
                "refused": row.refused, "behind": row.behind, "slowest": slowest})
        });
        let machines = machines.iter().map(|(name, told)| match told {
            Ok(told) => json!({"name": name, "version": told["version"], "digest": told["digest"],
                "current": told["current"], "attached": told["attached"]}),
            Err(why) => json!({"name": name, "error": why}),
        });
        json_line(
            &json!({"version": newest, "versions": rows.collect::<Vec<_>>(),
            "machines": machines.collect::<Vec<_>>(), "refusals": refusals}),
        )?;
    } else {
        print(&machines, &rows, &refusals)?;
    }
    Ok(if ill { Code::Found } else { Code::Good })
}

/// The newest first.
fn over_all(
    machines: &[(String, Result<Value, String>)],
    newest: u64,
    last: usize,
) -> Vec<(u64, Row)> {
    let first = newest.saturating_sub(last as u64) + 1;
    let mut rows: Vec<(u64, Row)> = (first..=newest)
        .rev()
        .map(|version| (version, Row::default()))
        .collect();
    for told in machines.iter().filter_map(|(_, told)| told.as_ref().ok()) {
        let there = told["version"].as_u64().unwrap_or(0);
        for (version, row) in &mut rows {
            let all = told["versions"].as_array();
            let Some(one) = all
                .into_iter()
                .flatten()
                .find(|one| one["version"] == *version)
            else {
                // A machine that does not have it yet: all that are attached to it are behind.
                row.behind += if there < *version {
                    told["attached"].as_u64().unwrap_or(0)
                } else {
                    0
                };
                continue;
            };
            let number = |key: &str| one[key].as_u64().unwrap_or(0);
            row.at_ms = row.at_ms.or(one["at_ms"].as_u64());
            row.things = row.things.max(number("things"));
            row.confirmed += number("confirmed");
            row.refused += number("refused");
            row.behind += number("behind");
            if let (Some(holds), Some(name)) = (
                one["slowest"]["version"].as_u64(),
                one["slowest"]["name"].as_str(),
            ) {
                let slower = (holds, name.to_owned());
                row.slowest = Some(
                    row.slowest
                        .take()
                        .map_or(slower.clone(), |known| known.min(slower)),
                );
            }
        }
    }
    rows
}

fn print(
    machines: &[(String, Result<Value, String>)],
    rows: &[(u64, Row)],
    refusals: &[&Value],
) -> io::Result<()> {
    for (name, told) in machines {
        line(&match told {
            Ok(told) if told["here"] == false => format!("{name}: holds no copy of the versions"),
            Ok(told) => format!(
                "{name}: version {}, {} attached{}",
                told["version"],
                told["attached"],
                if told["current"] == true {
                    ""
                } else {
                    ", out of touch with the others"
                }
            ),
            Err(why) => format!("{name}: {why}"),
        })?;
    }
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let now = u64::try_from(now).unwrap_or(u64::MAX);
    line(&format!(
        "{:>8}  {:>10}  {:>6}  {:>9}  {:>7}  {:>6}  slowest",
        "version", "ago", "things", "confirmed", "refused", "behind"
    ))?;
    for (version, row) in rows {
        let ago = row.at_ms.map_or("-".to_owned(), |at| {
            format!("{} s", now.saturating_sub(at) / 1_000)
        });
        let slowest = row.slowest.as_ref().map_or(String::new(), |(holds, name)| {
            format!("{name}, holds {holds}")
        });
        let shown = format!(
            "{version:>8}  {ago:>10}  {:>6}  {:>9}  {:>7}  {:>6}  {slowest}",
            row.things, row.confirmed, row.refused, row.behind
        );
        line(shown.trim_end())?;
    }
    for one in refusals {
        let text = |key: &str| one[key].as_str().unwrap_or("-").to_owned();
        line(&format!(
            "{} refuses version {} and holds {}: {}",
            text("name"),
            one["version"],
            one["holds"],
            text("reason")
        ))?;
    }
    Ok(())
}
