//! `pool` blocks and their members.

use super::bounds::optional;
use super::reader::{BlockReader, DuplicateLabel, Keyword};
use super::{BlockKind, MAX_BLOCKS_PER_KIND, MAX_DURATION_NS, MAX_FACTOR};
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::source::Span;
use crate::units::ONE;
use crate::Finding;
use foldhash::{HashMap, HashMapExt};
use std::net::SocketAddr;

/// The addresses of the members of one block, each with where it is written.
pub(super) type Addresses = HashMap<SocketAddr, Span>;

/// Whether any member recognizes a repeat, or only the one that ran the first attempt.
const SHARED_KEYS: [Keyword<bool>; 2] = [("own", false), ("shared", true)];

pub(super) fn pool(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Pool {
    r.allowed_blocks = &["member"];
    let zone = r.optional_name("zone", "a zone's name");
    let mut addresses = Addresses::new();
    let members = r.members(DuplicateLabel::First, |r| member(r, &zone, &mut addresses));
    let count = optional(0, MAX_BLOCKS_PER_KIND as u64).or_zero();
    schema::Pool {
        name: r.name(),
        members,
        health: r.reference("health", BlockKind::Health),
        limits: r.reference("limits", BlockKind::Limits),
        attempts: r.reference("attempts", BlockKind::Attempts),
        retry_after: r.reference("retry-after", BlockKind::RetryAfter),
        fall_back: r.reference("fall-back", BlockKind::Pool),
        know: r.integer("know", count),
        warm_rate: r.rate("warm-rate"),
        senders: r.integer("senders", count),
        shared_keys: r.keyword_or("keys", &SHARED_KEYS, false),
    }
}

/// A member; one without a zone of its own is in that of its pool.
fn member(
    r: &mut BlockReader<'_, '_, '_, '_>,
    pool_zone: &str,
    addresses: &mut Addresses,
) -> schema::Member {
    let address = address(r, addresses);
    let mut zone = r.optional_name("zone", "a zone's name");
    if zone.is_empty() {
        pool_zone.clone_into(&mut zone);
    }
    schema::Member {
        name: r.name(),
        address,
        zone,
        weight: r.factor("weight", optional(ONE, MAX_FACTOR)),
        warm_up_ns: r.time("warm-up", optional(0, MAX_DURATION_NS).or_zero()),
    }
}

/// The address of a member, which no other member of its block may have; empty if it has none.
pub(super) fn address(r: &mut BlockReader<'_, '_, '_, '_>, taken: &mut Addresses) -> String {
    let Some(written) = r.single_name("address", "an address such as `\"10.0.0.1:5050\"`") else {
        r.report_if_missing("address");
        return String::new();
    };
    let Ok(address) = written.text.parse::<SocketAddr>() else {
        let message = format!("`{}` is no address and port", shorten(&written.text));
        let help = "write numbers, such as `\"10.0.0.1:5050\"` or `\"[::1]:5050\"`";
        r.report(Finding::new(Code::Address, written.span, message).with_help(help));
        return String::new();
    };
    if address.port() == 0 || address.ip().is_unspecified() {
        let message = format!("`{address}` is no node's address and port");
        r.report(Finding::new(Code::Address, written.span, message));
        return String::new();
    }
    if let Some(first) = taken.insert(address, written.span) {
        let message = format!("`{address}` is another member's address too");
        let finding = Finding::new(Code::AddressTwice, written.span, message);
        r.report(finding.with_label(first, "the other member"));
    }
    address.to_string()
}
