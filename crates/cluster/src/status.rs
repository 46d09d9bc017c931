//! What operators are told, by any member: one question in a frame, one answer in JSON (or text, for metrics; or the
//! published configuration, packed). A version to be published comes in a frame of its own.

use crate::config_server::{ConfigServer, LISTED};
use crate::driver::ClusterMember;
use bytes::Bytes;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use prost::Message as _;
use rainstand_config_distribution::snapshot;
use rainstand_raft::Role;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Command, Operation};
use rainstand_replicated_state::member::{GroupMember, KeyLookup, PublishedVersions, ShardView};
use rainstand_replicated_state::versions::Publish;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// The first bytes of a question: no protobuf message of a member begins so.
const MARK: &[u8] = b"ask ";
/// Before a version that is to be published.
const PUBLISH: &[u8] = b"publish ";
/// For a version to be committed: a few elections, after which nobody knows.
const COMMITS: Duration = Duration::from_secs(5);

/// A question's words, if it is one.
pub fn decode_question(frame: &[u8]) -> Option<&str> {
    std::str::from_utf8(frame.strip_prefix(MARK)?)
        .ok()
        .filter(|words| words.len() <= 4_096)
}

/// A question as a frame's message.
pub fn encode_question(words: &str) -> Vec<u8> {
    [MARK, words.as_bytes()].concat()
}

/// A version to be published as a frame's message.
pub fn encode_publish(publish: &Publish) -> Vec<u8> {
    [PUBLISH, &publish.encode_to_vec()].concat()
}

/// The version that is to be published, if the frame says one.
pub fn decode_publish(frame: &[u8]) -> Option<Publish> {
    Publish::decode(frame.strip_prefix(PUBLISH)?).ok()
}

/// Has a version committed: what became of it, in JSON.
pub async fn commit_version(group: &Rc<ClusterMember>, publish: Publish) -> Vec<u8> {
    let to = publish.from + 1;
    let told = match commit(group, publish).await {
        Ok(ClaimOutcome::Recorded) => json!({"committed": to}),
        Ok(ClaimOutcome::Conflict(why)) => json!({"conflict": String::from_utf8_lossy(&why)}),
        Ok(ClaimOutcome::Rejected(why)) => json!({"refused": String::from_utf8_lossy(&why)}),
        Ok(other) => json!({"refused": outcome_word(&other)}),
        Err(why) => json!({"unknown": why}),
    };
    told.to_string().into()
}

async fn commit(
    group: &Rc<ClusterMember>,
    mut publish: Publish,
) -> Result<ClaimOutcome, &'static str> {
    if group.serving().is_none() {
        return Ok(ClaimOutcome::Rejected(
            "this member is no control machine".into(),
        ));
    }
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    publish.published_at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let claim = group.inspect(|member| member.claim(&[]));
    let command = Command {
        key: Bytes::from_static(b"configuration"),
        claim,
        operation: Some(Operation::Publish(publish)),
    };
    let (send, told) = oneshot::channel();
    let send = Cell::new(Some(send));
    let tell = move |told| {
        if let Some(send) = send.take() {
            let _ = send.send(told);
        }
    };
    if group.request(command, COMMITS, Rc::new(tell)).is_none() {
        return Ok(ClaimOutcome::Rejected(
            "this member takes no questions now".into(),
        ));
    }
    told.await
        .ok()
        .flatten()
        .ok_or("no majority answered in time: it may be committed yet, see the versions")
}

/// What is told to a question.
pub fn answer_question(group: &ClusterMember, question: &str) -> Vec<u8> {
    if question == "whole" {
        return with_length_prefix(group);
    }
    words(group, question).into_bytes()
}

/// The newest published version, packed; nothing: there is none, or no copy of it here.
fn with_length_prefix(group: &ClusterMember) -> Vec<u8> {
    group.inspect(|member| {
        let versions = member.published().map(|published| published.versions);
        let versions = versions.filter(|versions| versions.version() > 0);
        versions
            .and_then(|all| snapshot::encode(all.version(), all.state()).ok())
            .unwrap_or_default()
    })
}

fn words(group: &ClusterMember, question: &str) -> String {
    match question.split_once(' ').unwrap_or((question, "")) {
        ("status", _) => status(group).to_string(),
        ("members", _) => members(group).to_string(),
        ("why", key) => why(group, key).to_string(),
        ("versions", most) => published_changed(group, most.parse().unwrap_or(16)).to_string(),
        ("metrics", _) => metrics(group),
        (other, _) => {
            json!({"error": format!("{other:.40} is no question: status, members, why KEY, versions, whole, metrics")})
                .to_string()
        }
    }
}

/// An outcome as the JSON output names it.
fn outcome_word(outcome: &ClaimOutcome) -> &'static str {
    match outcome {
        ClaimOutcome::Granted => "Granted",
        ClaimOutcome::Completed(_) => "Known",
        ClaimOutcome::InProgress => "Running",
        ClaimOutcome::Indeterminate => "Uncertain",
        ClaimOutcome::KeyMismatch => "Other",
        ClaimOutcome::Withdrawn => "Withdrawn",
        ClaimOutcome::CapacityExceeded => "Full",
        ClaimOutcome::Recorded => "Noted",
        ClaimOutcome::NotHeld => "Gone",
        ClaimOutcome::Conflict(_) => "Conflict",
        ClaimOutcome::Rejected(_) => "Refused",
    }
}

/// A role as the JSON output names it.
fn role_word(role: Role) -> &'static str {
    match role {
        Role::Follower => "follower",
        Role::PreCandidate => "asking",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
        Role::Quarantined => "aside",
    }
}

fn id(disk: u64) -> String {
    format!("{disk:016x}")
}

/// A disk's name as this member knows it.
fn name_of(member: &GroupMember, disk: u64) -> Value {
    if disk == member.disk() {
        return member.name().into();
    }
    let mut peers = member.peers();
    peers
        .find(|peer| peer.disk == Some(disk))
        .map_or(Value::Null, |peer| peer.name.into())
}

fn status(group: &ClusterMember) -> Value {
    let times = group.commit_times();
    let at = |share: f64| {
        let at = ((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1));
        times.get(at).map(|time| time.as_secs_f64() * 1e3)
    };
    group.inspect(|member| {
        let now = member.now();
        let shards: Vec<Value> = member
            .shards()
            .map(|view| {
                let ShardView {
                    shard,
                    replica,
                    table,
                } = view;
                let peers: Vec<Value> = replica
                    .progress()
                    .map(|peer| {
                        json!({"disk": id(peer.id), "name": name_of(member, peer.id),
                            "behind": replica.log().last_index().saturating_sub(peer.match_index),
                            "heard_ms": now.saturating_sub(peer.last_contact).as_millis() as u64})
                    })
                    .collect();
                let of: Vec<Value> = replica
                    .membership()
                    .members
                    .iter()
                    .map(|one| json!({"name": one.name, "disk": id(one.id), "votes": one.is_voter}))
                    .collect();
                json!({"shard": shard, "role": role_word(replica.role()),
                    "leader": replica.leader().map(|disk| name_of(member, disk)),
                    "term": replica.term(), "commit": replica.commit(), "applied": replica.applied(),
                    "last": replica.log().last_index(), "base": replica.log().base().index,
                    "keys": table.len(), "aged": table.expired_count(), "members": of, "peers": peers})
            })
            .collect();
        let leaders = member.known_leaders();
        json!({"name": member.name(), "disk": id(member.disk()), "stopped": member.is_stopped(),
            "failed": *group.failed.borrow(), "set_asides": group.quarantines.get(), "flushes": group.flushes.get(),
            "unwritten": member.pending_writes(), "questions": member.pending_request_count(),
            "turned_away": member.rejected_request_count(), "shards_with_leader": leaders.known, "shards_in_all": leaders.total,
            "leads": member.led_shard_count(), "commit_ms": {"median": at(0.5), "p99": at(0.99)}, "shards": shards})
    })
}

fn members(group: &ClusterMember) -> Value {
    group.inspect(|member| {
        let peers: Vec<Value> = member
            .peers()
            .map(|peer| {
                let out = group.link(peer.name);
                json!({"name": peer.name, "link": peer.is_connected, "disk": peer.disk.map(id), "old_copy": peer.is_stale,
                    "sent_bytes": out.sent.get(), "frames_lost": out.lost.get()})
            })
            .collect();
        json!({"name": member.name(), "disk": id(member.disk()), "peers": peers})
    })
}

fn why(group: &ClusterMember, key: &str) -> Value {
    // A key is written as its type and what it is about, with a slash between.
    let key = key.replacen('/', "\0", 1);
    group.inspect(|member| {
        let KeyLookup { shard, state: row } = member.key_state(key.as_bytes());
        let copy = member.shards().find(|view| view.shard == shard).map(|ShardView { replica, table, .. }| {
            json!({"applied": replica.applied(), "commit": replica.commit(), "log_time_ms": table.log_time_ns() / 1_000_000})
        });
        let row = row.map(|row| {
            json!({"state": row.state_name(), "holder": id(row.holder()), "holder_name": name_of(member, row.holder()),
                "result_bytes": row.result().len(), "until_log_ms": row.expires_at() / 1_000_000})
        });
        json!({"shard": shard, "copy_here": copy, "key": row, "asked": member.name(),
            "says": if copy.is_none() { "this member holds no copy of the shard" }
                else if row.is_none() { "not there: never asked, or aged out" } else { "as of the entry applied here" }})
    })
}

/// Published versions, and how far the processes that are attached here are.
fn published_changed(group: &ClusterMember, most: usize) -> Value {
    let members: Vec<Value> = group
        .members()
        .iter()
        .map(|member| json!({"name": member.name, "address": member.address}))
        .collect();
    let Some(serving) = group.serving() else {
        return json!({"error": "this member is no control machine"});
    };
    let name = group.inspect(|member| member.name().to_owned());
    let standing = serving.standing();
    let refusals = standing.iter().filter_map(|one| {
        let rejected = one.rejected.as_ref()?;
        (one.version < rejected.version).then(
            || json!({"name": one.identity.name, "version": rejected.version, "reason": rejected.reason, "holds": one.version}),
        )
    });
    let refusals: Vec<Value> = refusals.take(LISTED).collect();
    group.inspect(|member| {
        let Some(PublishedVersions { versions: all, is_current: current }) = member.published() else {
            return json!({"name": name, "members": members, "here": false});
        };
        let rows = serving.progress(most).into_iter().map(|progress| {
            let change = progress.version.checked_sub(1).and_then(|before| all.changes_since(before)?.next());
            json!({"version": progress.version, "at_ms": change.map(|change| change.published_at_ms),
                "things": progress.changed_resources, "confirmed": progress.acknowledged, "refused": progress.rejected,
                "behind": progress.behind,
                "slowest": progress.slowest.map(|slowest| json!({"name": slowest.name, "version": slowest.version}))})
        });
        let rows: Vec<Value> = rows.collect();
        json!({"name": name, "members": members, "here": true, "current": current, "version": all.version(),
            "digest": id(all.state().digest()), "things": all.state().len(), "attached": standing.len(),
            "versions": rows, "refusals": refusals})
    })
}

/// Of a control machine.
fn serving_metrics(registry: &mut Registry, serving: &ConfigServer) {
    let (version, c) = serving.inspect(|source| (source.version(), source.counters()));
    let counts = &serving.counts;
    let attached = serving.standing().len();
    let gauges = [
        (
            "published_version",
            "The newest published version here",
            version,
        ),
        (
            "attached",
            "Processes that are attached here",
            attached as u64,
        ),
    ];
    for (name, help, value) in gauges {
        registry.register(
            name,
            help,
            ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX)),
        );
    }
    let counters = [
        ("attachments", "Attachments since the start", c.attached),
        (
            "turned_away",
            "Processes that were told to come back",
            c.rejected_attachments,
        ),
        ("links_full", "Links past the bound", counts.full.get()),
        (
            "links_slow",
            "Links ended, as too much waited for them",
            counts.slow.get(),
        ),
        (
            "not_here",
            "Links ended, as no copy of the versions is here",
            counts.not_here.get(),
        ),
        ("confirmed", "Confirmations", c.acks),
        ("refused", "Refusals", c.nacks),
        (
            "differs",
            "Subscribers that held something else than their version says",
            c.divergences,
        ),
        (
            "gaps",
            "Subscribers that were sent what they could not use",
            c.gaps,
        ),
        ("deltas", "Changes sent", c.deltas),
        ("snapshots", "Whole versions sent", c.snapshots),
        (
            "sent_again",
            "Changes and pieces sent again",
            c.retransmissions,
        ),
        ("unreadable", "Frames that were none", c.malformed),
        (
            "attached_in_bytes",
            "Bytes of attached processes",
            c.bytes_in,
        ),
        (
            "attached_out_bytes",
            "Bytes to attached processes",
            c.bytes_out,
        ),
    ];
    for (name, help, value) in counters {
        registry.register(name, help, ConstCounter::new(value));
    }
}

/// Counters and gauges in the OpenMetrics text format.
fn metrics(group: &ClusterMember) -> String {
    let mut registry = Registry::with_prefix("rainstand_group");
    let status = status(group);
    let number = |of: &Value| of.as_i64().unwrap_or(0);
    let mut gauge =
        |name: &str, help: &str, value: i64| registry.register(name, help, ConstGauge::new(value));
    let shards = status["shards"].as_array().cloned().unwrap_or_default();
    let over = |key: &str| {
        shards
            .iter()
            .map(|shard| number(&shard[key]))
            .max()
            .unwrap_or(0)
    };
    gauge("term", "The latest term of any shard here", over("term"));
    gauge(
        "keys",
        "Keys in the copies here",
        shards.iter().map(|shard| number(&shard["keys"])).sum(),
    );
    gauge(
        "leads",
        "Shards that are led here",
        number(&status["leads"]),
    );
    gauge(
        "shards_without_leader",
        "Shards whose leader is not known here",
        number(&status["shards_in_all"]) - number(&status["shards_with_leader"]),
    );
    let peers = shards
        .iter()
        .flat_map(|shard| shard["peers"].as_array().cloned().unwrap_or_default());
    gauge(
        "behind",
        "Entries by which the copy that is furthest behind is behind, of shards led here",
        peers.map(|peer| number(&peer["behind"])).max().unwrap_or(0),
    );
    gauge(
        "unwritten",
        "Writes that are not durable yet",
        number(&status["unwritten"]),
    );
    gauge(
        "questions",
        "Questions that are open",
        number(&status["questions"]),
    );
    gauge(
        "commit_p99_us",
        "From a question to its answer, 99th percentile of the last ones",
        (status["commit_ms"]["p99"].as_f64().unwrap_or(0.0) * 1e3) as i64,
    );
    gauge(
        "quarantined",
        "1 if nothing is confirmed here any more",
        i64::from(status["stopped"] == true),
    );
    registry.register(
        "set_asides",
        "Times that files were set aside",
        ConstCounter::new(group.quarantines.get()),
    );
    if let Some(serving) = group.serving() {
        serving_metrics(&mut registry, &serving);
    }
    registry.register(
        "flushes",
        "Flushes of the disk",
        ConstCounter::new(group.flushes.get()),
    );
    let mut text = String::new();
    let _ = encode(&mut text, &registry);
    text
}
