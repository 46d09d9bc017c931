//! The answer to `metrics`: counters and gauges in the `OpenMetrics` text format.

use super::report::{self, MemberReport};
use crate::config_server::ConfigServer;
use crate::driver::ClusterMember;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use rainstand_config_distribution::publisher::Publisher;

/// The prefix of all metric names.
const PREFIX: &str = "rainstand_group";

/// A gauge or counter.
struct Metric<T> {
    name: &'static str,
    help: &'static str,
    value: T,
}

fn metric<T>(name: &'static str, help: &'static str, value: T) -> Metric<T> {
    Metric { name, help, value }
}

pub(super) fn text(member: &ClusterMember) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    register_gauges(&mut registry, member_gauges(&report::member(member)));
    let quarantines = metric(
        "set_asides",
        "Times that files were set aside",
        member.quarantines(),
    );
    register_counters(&mut registry, [quarantines]);
    if let Some(server) = member.config_server() {
        register_gauges(&mut registry, server_gauges(&server));
        register_counters(&mut registry, server_counters(&server));
    }
    let flushes = metric("flushes", "Flushes of the disk", member.flushes());
    register_counters(&mut registry, [flushes]);
    let mut text = String::new();
    // Writing to memory does not fail.
    let _ = encode(&mut text, &registry);
    text
}

fn register_gauges(registry: &mut Registry, gauges: impl IntoIterator<Item = Metric<u64>>) {
    for Metric { name, help, value } in gauges {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        registry.register(name, help, ConstGauge::new(value));
    }
}

fn register_counters(registry: &mut Registry, counters: impl IntoIterator<Item = Metric<u64>>) {
    for Metric { name, help, value } in counters {
        registry.register(name, help, ConstCounter::new(value));
    }
}

fn member_gauges(report: &MemberReport) -> [Metric<u64>; 9] {
    let shards = &report.shards;
    let followers = shards.iter().flat_map(|shard| &shard.peers);
    let behind = followers.map(|follower| follower.behind).max().unwrap_or(0);
    let p99_us = report.commit_ms.p99.unwrap_or(0.0) * 1e3;
    [
        metric(
            "term",
            "The latest term of any shard here",
            shards.iter().map(|shard| shard.term).max().unwrap_or(0),
        ),
        metric(
            "keys",
            "Keys in the copies here",
            shards.iter().map(|shard| shard.keys as u64).sum(),
        ),
        metric(
            "leads",
            "Shards that are led here",
            report.led_shards as u64,
        ),
        metric(
            "shards_without_leader",
            "Shards whose leader is not known here",
            (report.shards_total - report.shards_with_leader) as u64,
        ),
        metric(
            "behind",
            "Entries by which the copy that is furthest behind is behind, of shards led here",
            behind,
        ),
        metric(
            "unwritten",
            "Writes that are not durable yet",
            report.pending_writes,
        ),
        metric(
            "questions",
            "Questions that are open",
            report.pending_requests as u64,
        ),
        metric(
            "commit_p99_us",
            "From a question to its answer, 99th percentile of the last ones",
            p99_us as u64,
        ),
        metric(
            "quarantined",
            "1 if nothing is confirmed here any more",
            u64::from(report.stopped),
        ),
    ]
}

fn server_gauges(server: &ConfigServer) -> [Metric<u64>; 2] {
    [
        metric(
            "published_version",
            "The newest published version here",
            server.inspect(Publisher::version),
        ),
        metric(
            "attached",
            "Processes that are attached here",
            server.subscribers().len() as u64,
        ),
    ]
}

fn server_counters(server: &ConfigServer) -> [Metric<u64>; 15] {
    let publisher = server.inspect(Publisher::counters);
    let links = server.counters();
    [
        metric(
            "attachments",
            "Attachments since the start",
            publisher.attached,
        ),
        metric(
            "turned_away",
            "Processes that were told to come back",
            publisher.rejected_attachments,
        ),
        metric("links_full", "Links past the bound", links.full.get()),
        metric(
            "links_slow",
            "Links ended, as too much waited for them",
            links.slow.get(),
        ),
        metric(
            "not_here",
            "Links ended, as no copy of the versions is here",
            links.no_replica.get(),
        ),
        metric("confirmed", "Confirmations", publisher.acks),
        metric("refused", "Refusals", publisher.nacks),
        metric(
            "differs",
            "Subscribers that held something else than their version says",
            publisher.divergences,
        ),
        metric(
            "gaps",
            "Subscribers that were sent what they could not use",
            publisher.gaps,
        ),
        metric("deltas", "Changes sent", publisher.deltas),
        metric("snapshots", "Whole versions sent", publisher.snapshots),
        metric(
            "sent_again",
            "Changes and pieces sent again",
            publisher.retransmissions,
        ),
        metric("unreadable", "Frames that were none", publisher.malformed),
        metric(
            "attached_in_bytes",
            "Bytes of attached processes",
            publisher.bytes_in,
        ),
        metric(
            "attached_out_bytes",
            "Bytes to attached processes",
            publisher.bytes_out,
        ),
    ]
}
