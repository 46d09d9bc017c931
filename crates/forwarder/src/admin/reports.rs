//! Status, members and decisions as JSON objects, one a line. Keys are read by others and stay; fields have the field's
//! terms.

use crate::ForwarderContext;
use rainstand_config::schema::Configuration;
use rainstand_routing::decision_log::{Decision, DecisionOutcome};
use rainstand_routing::fleet::MemberSnapshot;
use rainstand_routing::health::MemberStatus;
use serde::Serialize;
use std::time::Duration;

/// One member.
#[derive(Debug, Serialize)]
pub struct MemberLine<'a> {
    /// Name of its pool.
    pub pool: &'a str,
    /// Its name.
    pub member: &'a str,
    /// As configured.
    pub address: &'a str,
    /// Its health: `in`, `out` or `trickle`.
    #[serde(rename = "standing")]
    pub status: &'static str,
    /// Why it is ejected.
    #[serde(rename = "why", skip_serializing_if = "Option::is_none")]
    pub ejection_reason: Option<&'static str>,
    /// For how long it is still ejected, ms.
    #[serde(rename = "back_in_ms", skip_serializing_if = "Option::is_none")]
    pub ejected_for_ms: Option<u64>,
    /// Attempts that are at it.
    pub open: u32,
    /// Attempts that may be at it.
    pub limit: u32,
    /// It is in the forwarder's zone.
    pub near: bool,
    /// It announced its shutdown.
    pub leaving: bool,
}

/// A published version that this forwarder rejected. In JSON an array of both.
#[derive(Clone, Debug, Serialize)]
#[serde(into = "(u64, String)")]
pub struct RejectedVersion {
    /// Its number.
    pub version: u64,
    /// Why, for people.
    pub reason: String,
}

impl From<RejectedVersion> for (u64, String) {
    fn from(rejected: RejectedVersion) -> Self {
        (rejected.version, rejected.reason)
    }
}

/// The attachment to config servers, and how old what came from them is.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigSourceLine {
    /// The published version in force; 0: none yet, the file's.
    pub version: u64,
    /// Digest of its state, in hexadecimal.
    pub digest: String,
    /// Since it was last known to be the newest, ms.
    pub age_ms: u64,
    /// The config server it is attached to.
    #[serde(rename = "machine")]
    pub server: Option<String>,
    /// The last version that was rejected here.
    #[serde(rename = "refused")]
    pub last_rejected: Option<RejectedVersion>,
    /// Attachments since the start.
    pub attachments: u64,
    /// Attachments that ended.
    #[serde(rename = "lost")]
    pub lost_attachments: u64,
    /// Connections that were tried.
    #[serde(rename = "dials")]
    pub connection_attempts: u64,
    /// Versions that came into force.
    #[serde(rename = "in_force")]
    pub applied_versions: u64,
    /// Versions that were rejected.
    #[serde(rename = "refusals")]
    pub rejected_versions: u64,
    /// Versions whose state was not the published one.
    #[serde(rename = "differs")]
    pub divergences: u64,
    /// Bytes from config servers.
    pub bytes_in: u64,
    /// Bytes to config servers.
    pub bytes_out: u64,
}

/// The state of the forwarder.
#[derive(Debug, Serialize)]
pub struct StatusLine {
    /// It drains.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Requests in flight.
    #[serde(rename = "tickets")]
    pub in_flight_requests: usize,
    /// Connections of clients.
    pub connections: usize,
    /// The current version: configurations installed since the start, and with it.
    #[serde(rename = "taken")]
    pub version: u64,
    /// Present where versions come from config servers.
    #[serde(rename = "control")]
    pub config_source: Option<ConfigSourceLine>,
}

/// A member that was not considered. In JSON an array of both.
#[derive(Clone, Debug, Serialize)]
#[serde(into = "(&'a str, &'static str)")]
pub struct SkippedMember<'a> {
    /// Its name.
    pub member: &'a str,
    /// Why.
    pub reason: &'static str,
}

impl<'a> From<SkippedMember<'a>> for (&'a str, &'static str) {
    fn from(skipped: SkippedMember<'a>) -> Self {
        (skipped.member, skipped.reason)
    }
}

/// One decision. A dispatch has a member, a rejection a reason.
#[derive(Debug, Default, Serialize)]
pub struct DecisionLine<'a> {
    /// Time since then, ms.
    #[serde(rename = "ago_ms")]
    pub age_ms: u64,
    /// The request's class.
    #[serde(rename = "type")]
    pub request_class: &'a str,
    /// The tenant, if it is configured.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<&'a str>,
    /// The route that took it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<&'a str>,
    /// The pool that the route led to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<&'a str>,
    /// The member it was sent to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<&'a str>,
    /// How the member was selected.
    #[serde(rename = "how", skip_serializing_if = "Option::is_none")]
    pub selected_by: Option<&'static str>,
    /// Number of the attempt, from 1.
    #[serde(rename = "tried", skip_serializing_if = "Option::is_none")]
    pub attempt_number: Option<u32>,
    /// Members that could take it.
    #[serde(rename = "of", skip_serializing_if = "Option::is_none")]
    pub eligible_members: Option<u16>,
    /// Attempts that the member had already.
    #[serde(rename = "in_hand", skip_serializing_if = "Option::is_none")]
    pub open_attempts: Option<u32>,
    /// Why it was rejected.
    #[serde(rename = "turned", skip_serializing_if = "Option::is_none")]
    pub rejected_for: Option<&'static str>,
    /// When the caller was asked to come back, from then on, ms.
    #[serde(rename = "told_ms", skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Members that were skipped.
    #[serde(rename = "passed_over", skip_serializing_if = "Vec::is_empty")]
    pub skipped: Vec<SkippedMember<'a>>,
    /// How many further ones were skipped.
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

/// The state of the forwarder, as one JSON object.
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

/// Members and their health, a JSON object a line.
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
        leaving: snapshot.leaving,
    }
}

/// The last decisions, newest first, a JSON object a line.
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
        age_ms: millis(now.saturating_sub(decision.at)),
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
    match decision.what {
        DecisionOutcome::Dispatched {
            member,
            selected_by,
            of,
            open_attempts,
            attempt_number,
        } => {
            line.member = Some(member_name(member));
            line.selected_by = Some(selected_by.as_str());
            line.attempt_number = Some(attempt_number);
            line.eligible_members = Some(of);
            line.open_attempts = Some(open_attempts);
        }
        DecisionOutcome::Rejected { reason, after } => {
            line.rejected_for = Some(reason.as_str());
            line.retry_after_ms = Some(millis(after));
        }
    }
    line
}

/// Adds an object and the end of its line.
fn push_line(out: &mut String, line: &impl Serialize) {
    if let Ok(text) = serde_json::to_string(line) {
        out.push_str(&text);
        out.push('\n');
    }
}
