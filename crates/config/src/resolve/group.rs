//! `group` blocks: nodes that keep copies of what matters among them.

use super::pool::address;
use super::{or, shorten, Bounds, Reader, Sort, LONGEST, SECOND};
use crate::codes::Code;
use crate::schema;
use crate::source::Span;
use crate::units::Dimension;
use crate::Finding;
use foldhash::{HashMap, HashMapExt};
use std::net::SocketAddr;

/// Members of one group, copies of one shard, shards: what the exhaustive search and the simulation cover.
const MOST_MEMBERS: usize = 64;
const MOST_COPIES: u64 = 7;
const MOST_SHARDS: u64 = 1_024;
/// Keys of one shard: at some hundred bytes each, a gigabyte.
const MOST_KEYS: u64 = 10_000_000;
/// Heartbeats that a follower waits for at least before it stands for election.
const HEARTBEATS: u64 = 4;
const MS: u64 = 1_000_000;

const YES_NO: [(&str, bool); 2] = [("yes", true), ("no", false)];

pub(super) fn group(r: &mut Reader<'_, '_, '_, '_>) -> schema::Group {
    r.holds = &["member"];
    let block = r.block();
    if r.maker.sorted[Sort::Group as usize]
        .first()
        .is_some_and(|first| first.at() != block.at())
    {
        let first = r.maker.sorted[Sort::Group as usize][0].at();
        let finding = Finding::new(
            Code::OneGroup,
            block.at(),
            "a configuration has one group at most",
        );
        r.tell(finding.also(first, "the first one"));
    }
    let members = members(r);
    let election = r.range(
        "election",
        Dimension::Time,
        false,
        &Bounds {
            default: None,
            zero: false,
            most: 60 * SECOND,
        },
    );
    let (least, most) = election.unwrap_or((None, None));
    let made = schema::Group {
        name: r.name(),
        shards: r.whole("shards", or(16, MOST_SHARDS)),
        copies: r.whole("copies", or(3, MOST_COPIES)),
        heartbeat_ns: r.time("heartbeat", or(50 * MS, 10 * SECOND)),
        election_least_ns: least.unwrap_or(300 * MS),
        election_most_ns: most.unwrap_or(600 * MS),
        commit_wait_ns: r.time(
            "commit-wait",
            Bounds {
                default: Some(0),
                zero: true,
                most: SECOND,
            },
        ),
        keys: r.whole("keys", or(1_000_000, MOST_KEYS)),
        moves: r.whole("moves", or(2, MOST_SHARDS)),
        testing: r.word("testing", &YES_NO, Some(false)).unwrap_or(false),
        start_within_ns: r.time("start-within", or(SECOND, LONGEST)),
        come_back_ns: r.time("come-back", or(500 * MS, LONGEST)),
        members,
    };
    let at = block.at();
    if made.copies.is_multiple_of(2) || made.copies < 3 || made.copies > made.members.len() as u64 {
        let words = format!("{} copies on {} members", made.copies, made.members.len());
        let finding = Finding::new(Code::GroupSize, at, words);
        r.tell(finding.help("write 3, 5 or 7 copies, and at least as many members"));
    }
    if made.election_least_ns < HEARTBEATS * made.heartbeat_ns {
        let words = format!("an election begins sooner than {HEARTBEATS} heartbeats");
        r.tell(Finding::new(Code::ElectionTimes, at, words));
    }
    majorities(r, &made, at);
    made
}

/// A shard's copies are spread so that no site holds its majority; where a site has so many of the members that
/// none can be spread, its loss is the loss of the group.
fn majorities(r: &mut Reader<'_, '_, '_, '_>, made: &schema::Group, at: Span) {
    let mut sites: HashMap<&str, u64> = HashMap::new();
    for member in made.members.iter().filter(|member| !member.site.is_empty()) {
        *sites.entry(&member.site).or_default() += 1;
    }
    let minority = made.copies.saturating_sub(1) / 2;
    let elsewhere = |there: u64| made.members.len() as u64 - there;
    let mut lost: Vec<&str> = sites
        .iter()
        .filter(|(_, there)| sites.len() > 1 && elsewhere(**there) < made.copies - minority)
        .map(|(site, _)| *site)
        .collect();
    lost.sort_unstable();
    for site in lost {
        let words = format!(
            "with the site `{}` each shard loses its majority",
            shorten(site)
        );
        r.tell(Finding::new(Code::SiteMajority, at, words));
    }
}

fn members(r: &mut Reader<'_, '_, '_, '_>) -> Vec<schema::GroupMember> {
    let block = r.block();
    let mut members: Vec<schema::GroupMember> = Vec::new();
    let mut names: HashMap<String, Span> = HashMap::new();
    let mut addresses: HashMap<SocketAddr, Span> = HashMap::new();
    for inner in block
        .blocks
        .iter()
        .filter(|inner| inner.kind.text == "member")
    {
        let mut reader = Reader {
            maker: r.maker,
            chain: vec![inner],
            asked: Vec::new(),
            holds: &[],
        };
        let folder = reader.text("folder", "a folder such as `\"/var/lib/rainstand\"`");
        if folder.is_none() && reader.entry("folder").is_none() {
            reader.missing("folder");
        }
        let made = schema::GroupMember {
            name: reader.name(),
            site: reader
                .text("site", "a site's name")
                .map_or(String::new(), |site| site.text.into_owned()),
            address: address(&mut reader, &mut addresses),
            folder: folder.map_or(String::new(), |folder| folder.text.into_owned()),
        };
        reader.end();
        if let Some(base) = &inner.base {
            r.tell(Finding::new(
                Code::NoBase,
                base.at,
                "a member cannot be built on another",
            ));
        }
        if inner.name.is_none() {
            r.tell(Finding::new(
                Code::NoName,
                inner.kind.at,
                "this member has no name",
            ));
        } else if let Some(first) = names.insert(made.name.clone(), inner.at()) {
            let words = format!(
                "the member `{}` is defined a second time",
                shorten(&made.name)
            );
            r.tell(
                Finding::new(Code::NameTwice, inner.at(), words).also(first, "first defined here"),
            );
        } else {
            members.push(made);
        }
    }
    if members.len() > MOST_MEMBERS {
        let words = format!("{} members; {MOST_MEMBERS} are the most", members.len());
        r.tell(Finding::new(Code::TooMuch, block.at(), words));
    }
    members
}
