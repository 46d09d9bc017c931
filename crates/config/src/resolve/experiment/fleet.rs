//! The fleet of an experiment, and what stands before, between and behind its nodes.

use super::{work, MAX_PARTS, MAX_TICKETS};
use crate::resolve::bounds::{optional, required};
use crate::resolve::reader::{BlockReader, Keyword};
use crate::resolve::{MAX_DURATION_NS, MAX_TRIES, MILLISECOND_NS, SECOND_NS};
use crate::schema::{self, MemberPick, ModelNode};
use crate::units::{ONE, PERCENT};

const MAX_CORES: u64 = 1_024;
const MAX_HALLS: u64 = 64;
/// By how much a node that is crowded or cold is slower.
const MAX_CROWDING: u64 = 10 * ONE;
const MAX_SLOWNESS: u64 = 1_000 * ONE;
const MAX_DELAY_NS: u64 = 60 * SECOND_NS;
const MICROSECOND_NS: u64 = 1_000;

pub(super) const NODES: [Keyword<ModelNode>; 2] =
    [("plain", ModelNode::Plain), ("ours", ModelNode::Ours)];

pub(super) const PICKS: [Keyword<MemberPick>; 3] = [
    ("two-choices", MemberPick::TwoChoices),
    ("least-known", MemberPick::LeastKnown),
    ("in-turn", MemberPick::InTurn),
];

pub(super) fn fleet(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::ModelFleet {
    let cores = r.integer("cores", optional(4, MAX_CORES));
    schema::ModelFleet {
        nodes: r.integer("nodes", required(MAX_PARTS)),
        cores,
        node: r.keyword_or("node", &NODES, ModelNode::Plain).into(),
        at_once: r.tickets("at-once", optional(cores, MAX_TICKETS)),
        hold: r.tickets("hold", optional(40, MAX_TICKETS).or_zero()),
        crowding: r.share("crowding", optional(0, MAX_CROWDING).or_zero()),
        cold_ns: r.time("cold", optional(0, MAX_DURATION_NS).or_zero()),
        cold_slower: r.factor("cold-slower", optional(2 * ONE, MAX_SLOWNESS)),
        halls: r.integer("halls", optional(1, MAX_HALLS)),
    }
}

pub(super) fn forwarders(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::ModelForwarders {
    let wait = r.time_range("wait", &required(MAX_DURATION_NS).or_zero());
    let pick = MemberPick::LeastKnown;
    schema::ModelForwarders {
        count: r.integer("count", optional(2, MAX_PARTS).or_zero()),
        know: r.integer("know", optional(0, MAX_PARTS).or_zero()),
        pick: r.keyword_or("pick", &PICKS, pick).into(),
        tries: r.integer("tries", optional(3, MAX_TRIES)),
        budget: r.share("budget", optional(20 * PERCENT, ONE).or_zero()),
        wait_least_ns: wait.min.unwrap_or(5 * MILLISECOND_NS),
        wait_most_ns: wait.max.unwrap_or(25 * MILLISECOND_NS),
        health: r.yes_no("health", true),
        keep: r.share("keep", optional(50 * PERCENT, ONE).or_zero()),
        at_once: r.tickets("at-once", optional(0, MAX_TICKETS).or_zero()),
    }
}

pub(super) fn network(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::ModelNetwork {
    let delay = r.time_range("delay", &required(MAX_DELAY_NS).or_zero());
    schema::ModelNetwork {
        delay_least_ns: delay.min.unwrap_or(100 * MICROSECOND_NS),
        delay_most_ns: delay.max.unwrap_or(300 * MICROSECOND_NS),
        far_ns: r.time("far", optional(MILLISECOND_NS, MAX_DELAY_NS).or_zero()),
        breaks: r.share("breaks", optional(0, ONE).or_zero()),
    }
}

/// The tier that the nodes call.
pub(super) fn downstream(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::ModelBelow {
    let work = work(r);
    schema::ModelBelow {
        nodes: r.integer("nodes", required(MAX_PARTS)),
        at_once: r.tickets("at-once", optional(8, MAX_TICKETS)),
        hold: r.tickets("hold", optional(60, MAX_TICKETS).or_zero()),
        work_least_ns: work.min_ns,
        work_most_ns: work.max_ns,
        by_chance: work.is_random,
    }
}
