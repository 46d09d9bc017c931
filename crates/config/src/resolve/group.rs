//! `group` blocks: nodes that replicate their state among them.

use super::bounds::{optional, required};
use super::pool::{address, Addresses};
use super::reader::{BlockReader, DuplicateLabel};
use super::{BlockKind, MAX_DURATION_NS, MILLISECOND_NS, SECOND_NS};
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::source::Span;
use crate::Finding;
use foldhash::{HashMap, HashMapExt};

/// Members of one group.
const MAX_MEMBERS: usize = 64;
/// Replicas of one shard.
const MAX_COPIES: u64 = 7;
const MAX_SHARDS: u64 = 1_024;
/// Idempotency keys of one shard: at some hundred bytes each, a gigabyte.
const MAX_KEYS: u64 = 10_000_000;
const MAX_HEARTBEAT_NS: u64 = 10 * SECOND_NS;
const MAX_ELECTION_NS: u64 = 60 * SECOND_NS;
/// Heartbeats that a follower waits for at least before it stands for election.
const MIN_ELECTION_HEARTBEATS: u64 = 4;

pub(super) fn group(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Group {
    r.allowed_blocks = &["member"];
    let span = r.block().span();
    if let Some(first) = r.earlier_block(BlockKind::Group) {
        let message = "a configuration has one group at most";
        let finding = Finding::new(Code::OneGroup, span, message);
        r.report(finding.with_label(first, "the first one"));
    }
    let mut addresses = Addresses::new();
    let members = r.members(DuplicateLabel::Latest, |r| member(r, &mut addresses));
    r.report_too_many_members(members.len(), MAX_MEMBERS);
    let election = r.time_range("election", &required(MAX_ELECTION_NS));
    let made = schema::Group {
        name: r.name(),
        shards: r.integer("shards", optional(16, MAX_SHARDS)),
        copies: r.integer("copies", optional(3, MAX_COPIES)),
        heartbeat_ns: r.time("heartbeat", optional(50 * MILLISECOND_NS, MAX_HEARTBEAT_NS)),
        election_least_ns: election.min.unwrap_or(300 * MILLISECOND_NS),
        election_most_ns: election.max.unwrap_or(600 * MILLISECOND_NS),
        commit_wait_ns: r.time("commit-wait", optional(0, SECOND_NS).or_zero()),
        keys: r.integer("keys", optional(1_000_000, MAX_KEYS)),
        moves: r.integer("moves", optional(2, MAX_SHARDS)),
        testing: r.yes_no("testing", false),
        start_within_ns: r.time("start-within", optional(SECOND_NS, MAX_DURATION_NS)),
        come_back_ns: r.time("come-back", optional(500 * MILLISECOND_NS, MAX_DURATION_NS)),
        members,
    };
    check_size(r, &made, span);
    check_election(r, &made, span);
    check_majorities(r, &made, span);
    made
}

fn member(r: &mut BlockReader<'_, '_, '_, '_>, addresses: &mut Addresses) -> schema::GroupMember {
    let folder = r.required_name("folder", "a folder such as `\"/var/lib/rainstand\"`");
    schema::GroupMember {
        name: r.name(),
        site: r.optional_name("site", "a site's name"),
        address: address(r, addresses),
        folder,
    }
}

/// An odd number of replicas, so that one half of them is a majority.
fn check_size(r: &mut BlockReader<'_, '_, '_, '_>, group: &schema::Group, span: Span) {
    let (copies, members) = (group.copies, group.members.len());
    if copies.is_multiple_of(2) || copies < 3 || copies > members as u64 {
        let message = format!("{copies} copies on {members} members");
        let finding = Finding::new(Code::GroupSize, span, message);
        r.report(finding.with_help("write 3, 5 or 7 copies, and at least as many members"));
    }
}

fn check_election(r: &mut BlockReader<'_, '_, '_, '_>, group: &schema::Group, span: Span) {
    if group.election_least_ns < MIN_ELECTION_HEARTBEATS * group.heartbeat_ns {
        let message =
            format!("an election begins sooner than {MIN_ELECTION_HEARTBEATS} heartbeats");
        r.report(Finding::new(Code::ElectionTimes, span, message));
    }
}

/// A shard's replicas are spread so that no site holds its majority; where a site has so many of the members that
/// none can be spread, its loss is the loss of the group.
fn check_majorities(r: &mut BlockReader<'_, '_, '_, '_>, group: &schema::Group, span: Span) {
    let mut members_by_site: HashMap<&str, u64> = HashMap::new();
    for member in group
        .members
        .iter()
        .filter(|member| !member.site.is_empty())
    {
        *members_by_site.entry(&member.site).or_default() += 1;
    }
    if members_by_site.len() < 2 {
        return;
    }
    let minority = group.copies.saturating_sub(1) / 2;
    let majority = group.copies - minority;
    let mut vital: Vec<&str> = members_by_site
        .iter()
        .filter(|(_, here)| group.members.len() as u64 - **here < majority)
        .map(|(site, _)| *site)
        .collect();
    vital.sort_unstable();
    for site in vital {
        let message = format!(
            "with the site `{}` each shard loses its majority",
            shorten(site)
        );
        r.report(Finding::new(Code::SiteMajority, span, message));
    }
}
