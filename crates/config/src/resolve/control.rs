//! `control` blocks: the machines of which a process hears new versions of its configuration.

use super::pool::address;
use super::{shorten, Reader, Sort};
use crate::codes::Code;
use crate::schema;
use crate::source::Span;
use crate::Finding;
use foldhash::{HashMap, HashMapExt};
use std::net::SocketAddr;

/// Machines of one control group: few agree on each version, and a subscriber rates all of them at each attachment.
const MOST_MEMBERS: usize = 16;

pub(super) fn control(r: &mut Reader<'_, '_, '_, '_>) -> schema::Control {
    r.holds = &["member"];
    let block = r.block();
    if let Some(first) = r.maker.sorted[Sort::Control as usize]
        .first()
        .filter(|one| one.at() != block.at())
    {
        let first = first.at();
        let finding = Finding::new(
            Code::OneControl,
            block.at(),
            "a process is attached to one control group",
        );
        r.tell(finding.also(first, "the first one"));
    }
    let members = members(r);
    let folder = r.text("folder", "a folder such as `\"/var/lib/rainstand\"`");
    let made = schema::Control {
        name: r.name(),
        folder: folder.map_or(String::new(), |folder| folder.text.into_owned()),
        members,
    };
    if made.members.is_empty() {
        let words = format!("`{}` names no machine", shorten(&made.name));
        r.tell(Finding::new(Code::ControlEmpty, block.at(), words));
    }
    made
}

fn members(r: &mut Reader<'_, '_, '_, '_>) -> Vec<schema::ControlMember> {
    let block = r.block();
    let mut members: Vec<schema::ControlMember> = Vec::new();
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
        let made = schema::ControlMember {
            name: reader.name(),
            region: reader
                .text("region", "a region's name")
                .map_or(String::new(), |one| one.text.into_owned()),
            zone: reader
                .text("zone", "a zone's name")
                .map_or(String::new(), |one| one.text.into_owned()),
            address: address(&mut reader, &mut addresses),
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
