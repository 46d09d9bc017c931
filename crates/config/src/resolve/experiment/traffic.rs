//! The load of an experiment: its traffic by class, where it comes from, and how much there is.

use super::{referenced_name, work, MAX_RUN_NS};
use crate::resolve::bounds::{optional, required};
use crate::resolve::reader::BlockReader;
use crate::resolve::{BlockKind, MAX_FACTOR};
use crate::schema;
use crate::units::ONE;

/// Load as a share of what all cores can do.
const MAX_LOAD: u64 = 1_000 * ONE;

pub(super) fn traffic(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::ModelTraffic {
    let name = referenced_name(r, BlockKind::Type);
    let work = work(r);
    schema::ModelTraffic {
        name,
        part: r.factor("part", optional(ONE, MAX_FACTOR)),
        work_least_ns: work.min_ns,
        work_most_ns: work.max_ns,
        by_chance: work.is_random,
        calls: r.yes_no("calls", false),
        poorer: r.share("poorer", optional(0, ONE).or_zero()),
    }
}

/// A tenant, or somebody whom the configuration does not name.
pub(super) fn source(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::ModelSource {
    let stranger = r.yes_no("stranger", false);
    let name = if stranger {
        r.name()
    } else {
        referenced_name(r, BlockKind::Tenant)
    };
    schema::ModelSource {
        name,
        part: r.factor("part", optional(ONE, MAX_FACTOR)),
        stranger,
    }
}

pub(super) fn load(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::LoadPart {
    schema::LoadPart {
        from_ns: r.time("from", optional(0, MAX_RUN_NS).or_zero()),
        share: r.share("of-cores", required(MAX_LOAD).or_zero()),
    }
}
