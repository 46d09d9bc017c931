//! What operators are told, by any member: one question in a frame, one answer in JSON (or text, for metrics).

use crate::host::Group;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use rainstand_copies::member::Member;
use serde_json::{json, Value};

/// The first bytes of a question: no protobuf message of a member begins so.
const MARK: &[u8] = b"ask ";

/// A question's words, if it is one.
pub fn question(frame: &[u8]) -> Option<&str> {
    std::str::from_utf8(frame.strip_prefix(MARK)?).ok().filter(|words| words.len() <= 4_096)
}

/// A question as a frame's message.
pub fn ask(words: &str) -> Vec<u8> {
    [MARK, words.as_bytes()].concat()
}

/// What is told to a question.
pub fn answer(group: &Group, question: &str) -> String {
    match question.split_once(' ').unwrap_or((question, "")) {
        ("status", _) => status(group).to_string(),
        ("members", _) => members(group).to_string(),
        ("why", key) => why(group, key).to_string(),
        ("metrics", _) => metrics(group),
        (other, _) => {
            json!({"error": format!("{other:.40} is no question: status, members, why KEY, metrics")})
                .to_string()
        }
    }
}

fn id(disk: u64) -> String {
    format!("{disk:016x}")
}

/// A disk's name as this member knows it.
fn name_of(member: &Member, disk: u64) -> Value {
    if disk == member.disk() {
        return member.name().into();
    }
    let mut peers = member.peers();
    peers.find(|peer| peer.2 == Some(disk)).map_or(Value::Null, |peer| peer.0.into())
}

fn status(group: &Group) -> Value {
    let times = group.commit_times();
    let at = |share: f64| {
        let at = ((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1));
        times.get(at).map(|time| time.as_secs_f64() * 1e3)
    };
    group.see(|member| {
        let now = member.now();
        let shards: Vec<Value> = member
            .shards()
            .map(|(shard, replica, table)| {
                let peers: Vec<Value> = replica
                    .progress()
                    .map(|(disk, matched, heard)| {
                        json!({"disk": id(disk), "name": name_of(member, disk),
                            "behind": replica.log().last().saturating_sub(matched),
                            "heard_ms": now.saturating_sub(heard).as_millis() as u64})
                    })
                    .collect();
                let of: Vec<Value> = replica
                    .config()
                    .members
                    .iter()
                    .map(|one| json!({"name": one.name, "disk": id(one.id), "votes": one.votes}))
                    .collect();
                json!({"shard": shard, "role": format!("{:?}", replica.role()).to_lowercase(),
                    "leader": replica.leader().map(|disk| name_of(member, disk)),
                    "term": replica.term(), "commit": replica.commit(), "applied": replica.applied(),
                    "last": replica.log().last(), "base": replica.log().base().index,
                    "keys": table.len(), "aged": table.aged(), "members": of, "peers": peers})
            })
            .collect();
        let (known, of) = member.led();
        json!({"name": member.name(), "disk": id(member.disk()), "stopped": member.stopped(),
            "failed": *group.failed.borrow(), "set_asides": group.set_asides.get(), "flushes": group.flushes.get(),
            "unwritten": member.unwritten(), "questions": member.open_questions(),
            "turned_away": member.turned_away, "shards_with_leader": known, "shards_in_all": of,
            "leads": member.leading(), "commit_ms": {"median": at(0.5), "p99": at(0.99)}, "shards": shards})
    })
}

fn members(group: &Group) -> Value {
    group.see(|member| {
        let peers: Vec<Value> = member
            .peers()
            .map(|(name, here, disk, refused)| {
                let out = group.link(name);
                json!({"name": name, "link": here, "disk": disk.map(id), "old_copy": refused,
                    "sent_bytes": out.sent.get(), "frames_lost": out.lost.get()})
            })
            .collect();
        json!({"name": member.name(), "disk": id(member.disk()), "peers": peers})
    })
}

fn why(group: &Group, key: &str) -> Value {
    // A key is written as its type and what it is about, with a slash between.
    let key = key.replacen('/', "\0", 1);
    group.see(|member| {
        let (shard, row) = member.row(key.as_bytes());
        let copy = member.shards().find(|one| one.0 == shard).map(|(_, replica, table)| {
            json!({"applied": replica.applied(), "commit": replica.commit(), "log_time_ms": table.stamp() / 1_000_000})
        });
        let row = row.map(|row| {
            json!({"state": row.word(), "holder": id(row.holder()), "holder_name": name_of(member, row.holder()),
                "result_bytes": row.result().len(), "until_log_ms": row.until() / 1_000_000})
        });
        json!({"shard": shard, "copy_here": copy, "key": row, "asked": member.name(),
            "says": if copy.is_none() { "this member holds no copy of the shard" }
                else if row.is_none() { "not there: never asked, or aged out" } else { "as of the entry applied here" }})
    })
}

/// Counters and gauges in the OpenMetrics text format.
fn metrics(group: &Group) -> String {
    let mut registry = Registry::with_prefix("rainstand_group");
    let status = status(group);
    let number = |of: &Value| of.as_i64().unwrap_or(0);
    let mut gauge =
        |name: &str, help: &str, value: i64| registry.register(name, help, ConstGauge::new(value));
    let shards = status["shards"].as_array().cloned().unwrap_or_default();
    let over = |key: &str| shards.iter().map(|shard| number(&shard[key])).max().unwrap_or(0);
    gauge("term", "The latest term of any shard here", over("term"));
    gauge("keys", "Keys in the copies here", shards.iter().map(|shard| number(&shard["keys"])).sum());
    gauge("leads", "Shards that are led here", number(&status["leads"]));
    gauge(
        "shards_without_leader",
        "Shards whose leader is not known here",
        number(&status["shards_in_all"]) - number(&status["shards_with_leader"]),
    );
    let peers = shards.iter().flat_map(|shard| shard["peers"].as_array().cloned().unwrap_or_default());
    gauge(
        "behind",
        "Entries by which the copy that is furthest behind is behind, of shards led here",
        peers.map(|peer| number(&peer["behind"])).max().unwrap_or(0),
    );
    gauge("unwritten", "Writes that are not durable yet", number(&status["unwritten"]));
    gauge("questions", "Questions that are open", number(&status["questions"]));
    gauge(
        "commit_p99_us",
        "From a question to its answer, 99th percentile of the last ones",
        (status["commit_ms"]["p99"].as_f64().unwrap_or(0.0) * 1e3) as i64,
    );
    gauge("quarantined", "1 if nothing is confirmed here any more", i64::from(status["stopped"] == true));
    registry.register(
        "set_asides",
        "Times that files were set aside",
        ConstCounter::new(group.set_asides.get()),
    );
    registry.register("flushes", "Flushes of the disk", ConstCounter::new(group.flushes.get()));
    let mut text = String::new();
    let _ = encode(&mut text, &registry);
    text
}
