//! `rainstand config versions`: shows the rollout progress of the newest versions, over all config servers.

use super::client::{query_versions, QueryError, SlowestSubscriber, VersionsResponse};
use crate::error::{CommandError, CommandResult};
use crate::output::{json as json_line, line, ExitStatus};
use clap::Args;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Args)]
pub(crate) struct Versions {
    /// The address of a control machine in its `group` block; the others are asked too
    #[arg(long)]
    at: SocketAddr,
    /// So many of the newest
    #[arg(long, default_value_t = 16)]
    last: usize,
    #[arg(long)]
    json: bool,
}

/// A server's response, or why there is none.
struct ServerReport {
    name: String,
    response: Result<VersionsResponse, QueryError>,
}

/// Rollout progress of one version over all servers that responded.
#[derive(Default)]
struct VersionSummary {
    version: u64,
    /// When it was committed, in milliseconds since the Unix epoch.
    at_ms: Option<u64>,
    changed_resources: u64,
    acknowledged: u64,
    rejected: u64,
    behind: u64,
    slowest: Option<SlowestSubscriber>,
}

/// Prints the progress of the newest versions.
///
/// # Errors
/// If the server cannot be reached or its response is not valid.
pub(crate) fn versions(options: &Versions) -> CommandResult {
    let first = query_versions(options.at, options.last)
        .map_err(|error| CommandError::unusable(options.at, error))?;
    let reports = query_all(first, options.last);
    let newest = responses(&reports)
        .filter_map(|response| response.version)
        .max()
        .unwrap_or(0);
    let summaries = summarize(&reports, newest, options.last);
    let rejections: Vec<&Value> = responses(&reports)
        .flat_map(|response| &response.rejections)
        .collect();
    if options.json {
        print_json(newest, &reports, &summaries, &rejections)?;
    } else {
        print_servers(&reports)?;
        print_versions(&summaries)?;
        print_rejections(&rejections)?;
    }
    Ok(exit_code(&reports, rejections.is_empty()))
}

/// One confirmed response is enough to know the newest version.
fn exit_code(reports: &[ServerReport], none_rejected: bool) -> ExitStatus {
    let newest_is_known = responses(reports).any(|response| response.current == Some(true));
    let all_responded = reports.iter().all(|report| report.response.is_ok());
    match (newest_is_known, all_responded && none_rejected) {
        (false, _) => ExitStatus::Unknown,
        (true, true) => ExitStatus::Success,
        (true, false) => ExitStatus::Found,
    }
}

/// Queries the other members that `first` names.
fn query_all(first: VersionsResponse, count: usize) -> Vec<ServerReport> {
    let first_name = first.name.clone();
    let members = first.members.clone();
    let mut reports = vec![ServerReport {
        name: first_name.clone(),
        response: Ok(first),
    }];
    for member in members {
        let Ok(address) = member.address.parse() else {
            continue;
        };
        if member.name != first_name {
            reports.push(ServerReport {
                name: member.name,
                response: query_versions(address, count),
            });
        }
    }
    reports
}

fn responses(reports: &[ServerReport]) -> impl Iterator<Item = &VersionsResponse> {
    reports
        .iter()
        .filter_map(|report| report.response.as_ref().ok())
}

/// One summary for each of the `count` versions up to `newest`, newest first.
fn summarize(reports: &[ServerReport], newest: u64, count: usize) -> Vec<VersionSummary> {
    let oldest = newest.saturating_sub(count as u64) + 1;
    let mut summaries: Vec<VersionSummary> = (oldest..=newest)
        .rev()
        .map(|version| VersionSummary {
            version,
            ..VersionSummary::default()
        })
        .collect();
    for response in responses(reports) {
        for summary in &mut summaries {
            summary.add(response);
        }
    }
    summaries
}

impl VersionSummary {
    /// Adds the progress on one server.
    fn add(&mut self, response: &VersionsResponse) {
        let progress = response
            .versions
            .iter()
            .find(|progress| progress.version == self.version);
        let Some(progress) = progress else {
            // On a server that does not have the version yet, all subscribers are behind.
            if response.version.unwrap_or(0) < self.version {
                self.behind += response.attached.unwrap_or(0);
            }
            return;
        };
        self.at_ms = self.at_ms.or(progress.at_ms);
        self.changed_resources = self.changed_resources.max(progress.changed_resources);
        self.acknowledged += progress.acknowledged;
        self.rejected += progress.rejected;
        self.behind += progress.behind;
        let slowest = [self.slowest.take(), progress.slowest.clone()];
        self.slowest = slowest.into_iter().flatten().min();
    }
}

fn print_json(
    newest: u64,
    reports: &[ServerReport],
    summaries: &[VersionSummary],
    rejections: &[&Value],
) -> io::Result<()> {
    let versions: Vec<Value> = summaries
        .iter()
        .map(|summary| {
            let slowest = summary
                .slowest
                .as_ref()
                .map(|slowest| json!({"name": slowest.name, "version": slowest.version}));
            json!({"version": summary.version, "at_ms": summary.at_ms, "things": summary.changed_resources,
                "confirmed": summary.acknowledged, "refused": summary.rejected, "behind": summary.behind,
                "slowest": slowest})
        })
        .collect();
    let machines: Vec<Value> = reports
        .iter()
        .map(|report| match &report.response {
            Ok(response) => json!({"name": report.name, "version": response.version,
                "digest": response.digest, "current": response.current, "attached": response.attached}),
            Err(error) => json!({"name": report.name, "error": error.to_string()}),
        })
        .collect();
    json_line(
        &json!({"version": newest, "versions": versions, "machines": machines,
        "refusals": rejections}),
    )
}

fn print_servers(reports: &[ServerReport]) -> io::Result<()> {
    for ServerReport { name, response } in reports {
        match response {
            Ok(response) if response.has_copy == Some(false) => {
                line(&format!("{name}: holds no copy of the versions"))?;
            }
            Ok(response) => {
                let version = response.version.unwrap_or_default();
                let attached = response.attached.unwrap_or_default();
                let suffix = if response.current == Some(true) {
                    ""
                } else {
                    ", not confirmed by a majority"
                };
                line(&format!(
                    "{name}: version {version}, {attached} attached{suffix}"
                ))?;
            }
            Err(error) => line(&format!("{name}: {error}"))?,
        }
    }
    Ok(())
}

fn print_versions(summaries: &[VersionSummary]) -> io::Result<()> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    line(&format!(
        "{:>8}  {:>10}  {:>6}  {:>9}  {:>7}  {:>6}  slowest",
        "version", "ago", "things", "confirmed", "refused", "behind"
    ))?;
    for summary in summaries {
        let age = summary.at_ms.map_or("-".to_owned(), |at_ms| {
            format!("{} s", now_ms.saturating_sub(at_ms) / 1_000)
        });
        let slowest = summary.slowest.as_ref().map_or(String::new(), |slowest| {
            format!("{}, holds {}", slowest.name, slowest.version)
        });
        let row = format!(
            "{:>8}  {age:>10}  {:>6}  {:>9}  {:>7}  {:>6}  {slowest}",
            summary.version,
            summary.changed_resources,
            summary.acknowledged,
            summary.rejected,
            summary.behind
        );
        line(row.trim_end())?;
    }
    Ok(())
}

fn print_rejections(rejections: &[&Value]) -> io::Result<()> {
    for rejection in rejections {
        let text = |key: &str| rejection[key].as_str().unwrap_or("-").to_owned();
        line(&format!(
            "{} refuses version {} and holds {}: {}",
            text("name"),
            rejection["version"],
            rejection["holds"],
            text("reason")
        ))?;
    }
    Ok(())
}
