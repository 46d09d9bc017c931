//! The fleet of an experiment, and what stands before, between and behind its nodes.

use super::{work, MOST_PARTS, YES_NO};
use crate::resolve::reader::{must, or, Bounds, Reader};
use crate::resolve::{LONGEST, MOST_TRIES, SECOND};
use crate::schema::{self, MemberPick, ModelNode};
use crate::units::{Dimension, ONE, PERCENT};

pub(super) fn fleet(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelFleet {
    let words = [("plain", ModelNode::Plain), ("ours", ModelNode::Ours)];
    let cores = r.whole("cores", or(4, 1_024));
    schema::ModelFleet {
        nodes: r.whole("nodes", must(MOST_PARTS)),
        cores,
        node: r
            .word("node", &words, Some(ModelNode::Plain))
            .unwrap_or(ModelNode::Plain)
            .into(),
        at_once: r.amount("at-once", Dimension::Tickets, or(cores, 1 << 20)),
        hold: r.amount(
            "hold",
            Dimension::Tickets,
            Bounds {
                default: Some(40),
                zero: true,
                most: 1 << 20,
            },
        ),
        crowding: r.share(
            "crowding",
            Bounds {
                default: Some(0),
                zero: true,
                most: 10 * ONE,
            },
        ),
        cold_ns: r.time(
            "cold",
            Bounds {
                default: Some(0),
                zero: true,
                most: LONGEST,
            },
        ),
        cold_slower: r.amount("cold-slower", Dimension::Factor, or(2 * ONE, 1_000 * ONE)),
        halls: r.whole("halls", or(1, 64)),
    }
}

const PICKS: [(&str, MemberPick); 3] = [
    ("two-choices", MemberPick::TwoChoices),
    ("least-known", MemberPick::LeastKnown),
    ("in-turn", MemberPick::InTurn),
];

pub(super) fn forwarders(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelForwarders {
    let wait = r.range(
        "wait",
        Dimension::Time,
        false,
        &Bounds {
            default: None,
            zero: true,
            most: LONGEST,
        },
    );
    let (least, most) = wait.unwrap_or((None, None));
    let none = |most| Bounds {
        default: Some(0),
        zero: true,
        most,
    };
    schema::ModelForwarders {
        count: r.whole(
            "count",
            Bounds {
                default: Some(2),
                zero: true,
                most: MOST_PARTS,
            },
        ),
        know: r.whole("know", none(MOST_PARTS)),
        pick: r
            .word("pick", &PICKS, Some(MemberPick::LeastKnown))
            .unwrap_or(MemberPick::LeastKnown)
            .into(),
        tries: r.whole("tries", or(3, MOST_TRIES)),
        budget: r.share(
            "budget",
            Bounds {
                default: Some(20 * PERCENT),
                zero: true,
                most: ONE,
            },
        ),
        wait_least_ns: least.unwrap_or(5_000_000),
        wait_most_ns: most.unwrap_or(25_000_000),
        health: r.word("health", &YES_NO, Some(true)).unwrap_or(true),
        keep: r.share(
            "keep",
            Bounds {
                default: Some(50 * PERCENT),
                zero: true,
                most: ONE,
            },
        ),
        at_once: r.amount("at-once", Dimension::Tickets, none(1 << 20)),
    }
}

pub(super) fn network(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelNetwork {
    let bounds = Bounds {
        default: None,
        zero: true,
        most: 60 * SECOND,
    };
    let delay = r.range("delay", Dimension::Time, false, &bounds);
    let (least, most) = delay.unwrap_or((None, None));
    schema::ModelNetwork {
        delay_least_ns: least.unwrap_or(100_000),
        delay_most_ns: most.unwrap_or(300_000),
        far_ns: r.time(
            "far",
            Bounds {
                default: Some(1_000_000),
                zero: true,
                most: 60 * SECOND,
            },
        ),
        breaks: r.share(
            "breaks",
            Bounds {
                default: Some(0),
                zero: true,
                most: ONE,
            },
        ),
    }
}

pub(super) fn below(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelBelow {
    let (work_least_ns, work_most_ns, by_chance) = work(r);
    let hold = Bounds {
        default: Some(60),
        zero: true,
        most: 1 << 20,
    };
    schema::ModelBelow {
        nodes: r.whole("nodes", must(MOST_PARTS)),
        at_once: r.amount("at-once", Dimension::Tickets, or(8, 1 << 20)),
        hold: r.amount("hold", Dimension::Tickets, hold),
        work_least_ns,
        work_most_ns,
        by_chance,
    }
}
