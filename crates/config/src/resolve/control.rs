//! `control` blocks: the machines from which a process receives new versions of its configuration.

use super::pool::{address, Addresses};
use super::reader::{BlockReader, DuplicateLabel};
use super::BlockKind;
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::Finding;
use foldhash::HashMapExt;

/// Machines of one control group: all agree on each version, and a subscriber rates them at each attachment.
const MAX_MEMBERS: usize = 16;

pub(super) fn control(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Control {
    r.allowed_blocks = &["member"];
    let span = r.block().span();
    if let Some(first) = r.earlier_block(BlockKind::Control) {
        let message = "a process is attached to one control group";
        let finding = Finding::new(Code::OneControl, span, message);
        r.report(finding.with_label(first, "the first one"));
    }
    let mut addresses = Addresses::new();
    let members = r.members(DuplicateLabel::Latest, |r| member(r, &mut addresses));
    r.report_too_many_members(members.len(), MAX_MEMBERS);
    let made = schema::Control {
        folder: r.optional_name("folder", "a folder such as `\"/var/lib/rainstand\"`"),
        name: r.name(),
        members,
    };
    if made.members.is_empty() {
        let message = format!("`{}` names no machine", shorten(&made.name));
        r.report(Finding::new(Code::ControlEmpty, span, message));
    }
    made
}

fn member(r: &mut BlockReader<'_, '_, '_, '_>, addresses: &mut Addresses) -> schema::ControlMember {
    schema::ControlMember {
        name: r.name(),
        region: r.optional_name("region", "a region's name"),
        zone: r.optional_name("zone", "a zone's name"),
        address: address(r, addresses),
    }
}
