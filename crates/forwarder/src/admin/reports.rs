//! Status, members and decisions as JSON objects, one per line. External tools read the JSON keys, so a renamed field
//! keeps its key.

use crate::ForwarderContext;
use rainstand_config::schema::Configuration;
use rainstand_routing::decision_log::{Decision, DecisionOutcome};
use rainstand_routing::fleet::MemberSnapshot;
use rainstand_routing::health::MemberStatus;
use serde::Serialize;
use std::time::Duration;

/// One member of a pool.
#[derive(Debug, Serialize)]
pub struct MemberLine<'a> {
    /// Name of the pool.
    pub pool: &'a str,
    /// Name of the member.
    pub member: &'a str,
    /// Configured address.
    pub address: &'a str,
    /// Health status: `in`, `out` or `trickle`.
    #[serde(rename = "standing")]
    pub status: &'static str,
    /// Why the member is ejected.
    #[serde(rename = "why", skip_serializing_if = "Option::is_none")]
    pub ejection_reason: Option<&'static str>,
    /// Remaining ejection time, ms.
    #[serde(rename = "back_in_ms", skip_serializing_if = "Option::is_none")]
    pub ejected_for_ms: Option<u64>,
    /// Attempts in flight at the member.
    pub open: u32,
    /// Limit of attempts in flight at the member.
    pub limit: u32,
    /// Whether the member is in the forwarder's zone.
    pub near: bool,
    /// Whether the member announced its shutdown.
    #[serde(rename = "leaving")]
    pub draining: bool,
}

/// A published version that this forwarder rejected. Serialized as an array of both fields.
#[derive(Clone, Debug, Serialize)]
#[serde(into = "(u64, String)")]
pub struct RejectedVersion {
    /// Version number.
    pub version: u64,
    /// Human-readable reason.
    pub reason: String,
}

impl From<RejectedVersion> for (u64, String) {
    fn from(rejected: RejectedVersion) -> Self {
        (rejected.version, rejected.reason)
    }
}

/// State of the subscription to the config servers, and the age of the configuration received from them.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigSourceLine {
    /// The published version in force; 0 while the configuration of the file is used.
    pub version: u64,
    /// Digest of that version's state, in hexadecimal.
    pub digest: String,
    /// Time since that version was last known to be the newest, ms.
    pub age_ms: u64,
    /// The config server that the forwarder is attached to.
    #[serde(rename = "machine")]
    pub server: Option<String>,
    /// The last version that this forwarder rejected.
    #[serde(rename = "refused")]
    pub last_rejected: Option<RejectedVersion>,
    /// Attachments established since the start.
    pub attachments: u64,
    /// Attachments that ended.
    #[serde(rename = "lost")]
    pub lost_attachments: u64,
    /// Connection attempts.
    #[serde(rename = "dials")]
    pub connection_attempts: u64,
    /// Versions that were applied.
    #[serde(rename = "in_force")]
    pub applied_versions: u64,
    /// Versions that were rejected.
    #[serde(rename = "refusals")]
    pub rejected_versions: u64,
    /// Failed attempts to store a version.
    pub failed_writes: u64,
    /// Versions whose local state differed from the published one.
    #[serde(rename = "differs")]
    pub divergences: u64,
    /// Bytes received from config servers.
    pub bytes_in: u64,
    /// Bytes sent to config servers.
    pub bytes_out: u64,
}

/// The state of the forwarder.
#[derive(Debug, Serialize)]
pub struct StatusLine {
    /// Whether the forwarder drains.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Requests in flight.
    #[serde(rename = "tickets")]
    pub in_flight_requests: usize,
    /// Client connections.
    pub connections: usize,
    /// Current version number: configurations installed so far, including the initial one.
    #[serde(rename = "taken")]
    pub version: u64,
    /// Present if the configuration comes from config servers.
    #[serde(rename = "control")]
    pub config_source: Option<ConfigSourceLine>,
}

/// A member that was not considered. Serialized as an array of both fields.
#[derive(Clone, Debug, Serialize)]
#[serde(into = "(&'a str, &'static str)")]
pub struct SkippedMember<'a> {
    /// Name of the member.
    pub member: &'a str,
    /// Why it was skipped.
    pub reason: &'static str,
}

impl<'a> From<SkippedMember<'a>> for (&'a str, &'static str) {
    fn from(skipped: SkippedMember<'a>) -> Self {
        (skipped.member, skipped.reason)
    }
}

/// One routing decision: a dispatch has a member, a rejection has a reason.
#[derive(Debug, Default, Serialize)]
pub struct DecisionLine<'a> {
    /// Time since the decision, ms.
    #[serde(rename = "ago_ms")]
    pub age_ms: u64,
    /// The request class.
    #[serde(rename = "type")]
    pub request_class: &'a str,
    /// The tenant, if configured.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<&'a str>,
    /// The route that matched the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<&'a str>,
    /// The pool that the route selected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<&'a str>,
    /// The member that the request was sent to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<&'a str>,
    /// How the member was selected.
    #[serde(rename = "how", skip_serializing_if = "Option::is_none")]
    pub selected_by: Option<&'static str>,
    /// Attempt number, from 1.
    #[serde(rename = "tried", skip_serializing_if = "Option::is_none")]
    pub attempt_number: Option<u32>,
    /// Number of members that were eligible.
    #[serde(rename = "of", skip_serializing_if = "Option::is_none")]
    pub eligible_members: Option<u16>,
    /// Attempts already in flight at the member.
    #[serde(rename = "in_hand", skip_serializing_if = "Option::is_none")]
    pub open_attempts: Option<u32>,
    /// Why the request was rejected.
    #[serde(rename = "turned", skip_serializing_if = "Option::is_none")]
    pub rejected_for: Option<&'static str>,
    /// The retry-after time sent to the caller, ms after the decision.
    #[serde(rename = "told_ms", skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Members that were skipped, up to the limit of the decision log.
    #[serde(rename = "passed_over", skip_serializing_if = "Vec::is_empty")]
    pub skipped: Vec<SkippedMember<'a>>,
    /// Number of skipped members beyond those in `skipped`.
    #[serde(rename = "more_passed_over", skip_serializing_if = "is_zero")]
    pub more_skipped: u16,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_zero(number: &u16) -> bool {
    *number == 0
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// State of the forwarder as one JSON object.
pub fn status(context: &ForwarderContext) -> String {
    let mut out = String::new();
    let line = StatusLine {
        draining: context.drain.is_draining(),
        in_flight_requests: context.requests.len(),
        connections: context.clients.borrow().len(),
        version: context.fleet.borrow().version(),
        config_source: context
            .config_source
            .borrow()
            .as_ref()
            .map(|source| source()),
    };
    push_line(&mut out, &line);
    out
}

/// All members and their health, one JSON object per line.
pub fn members(context: &ForwarderContext) -> String {
    let (fleet, now, mut out) = (context.fleet.borrow(), context.now(), String::new());
    let configuration = fleet.table().configuration();
    for (index, pool) in configuration.pools.iter().enumerate() {
        let snapshots = fleet.members(index as u16, now);
        for (member, snapshot) in pool.members.iter().zip(snapshots) {
            let line = member_line(&pool.name, &member.name, &snapshot, now);
            push_line(&mut out, &line);
        }
    }
    out
}

fn member_line<'a>(
    pool: &'a str,
    member: &'a str,
    snapshot: &MemberSnapshot<'a>,
    now: Duration,
) -> MemberLine<'a> {
    let ejection = match snapshot.status {
        MemberStatus::Ejected(ejection) => Some(ejection),
        MemberStatus::Healthy | MemberStatus::Probing => None,
    };
    MemberLine {
        pool,
        member,
        address: snapshot.address,
        status: snapshot.status.as_str(),
        ejection_reason: ejection.map(|ejection| ejection.reason.as_str()),
        ejected_for_ms: ejection.map(|ejection| millis(ejection.until.saturating_sub(now))),
        open: snapshot.open,
        limit: snapshot.limit,
        near: snapshot.near,
        draining: snapshot.leaving,
    }
}

/// The `last` most recent decisions, newest first, one JSON object per line.
pub fn decisions(context: &ForwarderContext, last: usize) -> String {
    let (fleet, now, mut out) = (context.fleet.borrow(), context.now(), String::new());
    let configuration = fleet.table().configuration();
    for decision in fleet.decisions().all().rev().take(last) {
        push_line(&mut out, &decision_line(configuration, decision, now));
    }
    out
}

fn decision_line<'a>(
    configuration: &'a Configuration,
    decision: &Decision,
    now: Duration,
) -> DecisionLine<'a> {
    let pool = decision
        .pool
        .map(|index| &configuration.pools[usize::from(index)]);
    let member_name = |index: u16| pool.map_or("", |pool| &*pool.members[usize::from(index)].name);
    let tenant = decision
        .tenant
        .map(|index| &*configuration.tenants[usize::from(index)].name);
    let route = decision
        .route
        .map(|index| &*configuration.routes[usize::from(index)].name);
    let mut line = DecisionLine {
        age_ms: millis(now.saturating_sub(decision.time)),
        request_class: &configuration.types[usize::from(decision.request_class)].name,
        tenant,
        route,
        pool: pool.map(|pool| &*pool.name),
        skipped: decision
            .skipped_members()
            .map(|(member, reason)| SkippedMember {
                member: member_name(member),
                reason: reason.as_str(),
            })
            .collect(),
        more_skipped: decision.more_skipped,
        ..DecisionLine::default()
    };
    match decision.outcome {
        DecisionOutcome::Dispatched {
            member,
            selected_by,
            candidates,
            open_attempts,
            attempt_number,
        } => {
            line.member = Some(member_name(member));
            line.selected_by = Some(selected_by.as_str());
            line.attempt_number = Some(attempt_number);
            line.eligible_members = Some(candidates);
            line.open_attempts = Some(open_attempts);
        }
        DecisionOutcome::Rejected { reason, after } => {
            line.rejected_for = Some(reason.as_str());
            line.retry_after_ms = Some(millis(after));
        }
    }
    line
}

/// Appends an object as one line.
fn push_line(out: &mut String, line: &impl Serialize) {
    if let Ok(text) = serde_json::to_string(line) {
        out.push_str(&text);
        out.push('\n');
    }
}
