//! `pool` blocks and their members.

use super::{or, Bounds, Reader, Sort, LONGEST, MOST_FACTOR, MOST_THINGS};
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::source::Span;
use crate::units::{Dimension, ONE};
use crate::Finding;
use foldhash::{HashMap, HashMapExt};
use std::net::SocketAddr;

pub(super) fn pool(r: &mut Reader<'_, '_, '_, '_>) -> schema::Pool {
    r.holds = &["member"];
    let block = r.block();
    let mut members = Vec::new();
    let mut names: HashMap<String, Span> = HashMap::new();
    let mut addresses: HashMap<SocketAddr, Span> = HashMap::new();
    let zone = r
        .text("zone", "a zone's name")
        .map_or(String::new(), |zone| zone.text.into_owned());
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
        let mut made = member(&mut reader, &mut addresses);
        reader.end();
        if made.zone.is_empty() {
            made.zone.clone_from(&zone);
        }
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
        } else if let Some(first) = names.get(&made.name) {
            let words = format!(
                "the member `{}` is defined a second time",
                shorten(&made.name)
            );
            let finding = Finding::new(Code::NameTwice, inner.at(), words);
            r.tell(finding.also(*first, "first defined here"));
        } else {
            names.insert(made.name.clone(), inner.at());
            members.push(made);
        }
    }
    schema::Pool {
        name: r.name(),
        members,
        health: r.reference("health", Sort::Health),
        limits: r.reference("limits", Sort::Limits),
        attempts: r.reference("attempts", Sort::Attempts),
        retry_after: r.reference("retry-after", Sort::RetryAfter),
        fall_back: r.reference("fall-back", Sort::Pool),
        know: r.whole(
            "know",
            Bounds {
                default: Some(0),
                zero: true,
                most: MOST_THINGS as u64,
            },
        ),
        warm_rate: r.rate("warm-rate"),
        senders: r.whole(
            "senders",
            Bounds {
                default: Some(0),
                zero: true,
                most: MOST_THINGS as u64,
            },
        ),
    }
}

/// The address of a member that no other one of its block has; empty where there is none.
pub(super) fn address(
    r: &mut Reader<'_, '_, '_, '_>,
    taken: &mut HashMap<SocketAddr, Span>,
) -> String {
    let mut address = String::new();
    match r.text("address", "an address such as `\"10.0.0.1:5050\"`") {
        Some(written) => match written.text.parse::<SocketAddr>() {
            Ok(parsed) if parsed.port() == 0 || parsed.ip().is_unspecified() => {
                let words = format!("`{parsed}` is no node's address and port");
                r.tell(Finding::new(Code::Address, written.at, words));
            }
            Ok(parsed) => {
                if let Some(first) = taken.insert(parsed, written.at) {
                    let words = format!("`{parsed}` is another member's address too");
                    let finding = Finding::new(Code::AddressTwice, written.at, words);
                    r.tell(finding.also(first, "the other member"));
                }
                address = parsed.to_string();
            }
            Err(_) => {
                let words = format!("`{}` is no address and port", shorten(&written.text));
                let finding = Finding::new(Code::Address, written.at, words);
                r.tell(
                    finding.help("write numbers, such as `\"10.0.0.1:5050\"` or `\"[::1]:5050\"`"),
                );
            }
        },
        None => {
            if r.entry("address").is_none() {
                r.missing("address");
            }
        }
    }
    address
}

pub(super) fn member(
    r: &mut Reader<'_, '_, '_, '_>,
    taken: &mut HashMap<SocketAddr, Span>,
) -> schema::Member {
    let address = address(r, taken);
    schema::Member {
        name: r.name(),
        address,
        zone: r
            .text("zone", "a zone's name")
            .map_or(String::new(), |zone| zone.text.into_owned()),
        weight: r.amount("weight", Dimension::Factor, or(ONE, MOST_FACTOR)),
        warm_up_ns: r.time(
            "warm-up",
            Bounds {
                default: Some(0),
                zero: true,
                most: LONGEST,
            },
        ),
    }
}
