//! The load of an experiment: traffic by type, its sources, and how much of it.

use super::{named, work, LONGEST_RUN, YES_NO};
use crate::resolve::reader::{or, Bounds, Reader};
use crate::resolve::{Sort, MOST_FACTOR};
use crate::schema;
use crate::units::{Dimension, ONE};

pub(super) fn traffic(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelTraffic {
    let name = named(r, Sort::Type);
    let (work_least_ns, work_most_ns, by_chance) = work(r);
    schema::ModelTraffic {
        name,
        part: r.amount("part", Dimension::Factor, or(ONE, MOST_FACTOR)),
        work_least_ns,
        work_most_ns,
        by_chance,
        calls: r.word("calls", &YES_NO, Some(false)).unwrap_or(false),
        poorer: r.share(
            "poorer",
            Bounds {
                default: Some(0),
                zero: true,
                most: ONE,
            },
        ),
    }
}

pub(super) fn from(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelSource {
    let stranger = r.word("stranger", &YES_NO, Some(false)).unwrap_or(false);
    let name = if stranger {
        r.name()
    } else {
        named(r, Sort::Tenant)
    };
    schema::ModelSource {
        name,
        part: r.amount("part", Dimension::Factor, or(ONE, MOST_FACTOR)),
        stranger,
    }
}

pub(super) fn load(r: &mut Reader<'_, '_, '_, '_>) -> schema::LoadPart {
    schema::LoadPart {
        from_ns: r.time(
            "from",
            Bounds {
                default: Some(0),
                zero: true,
                most: LONGEST_RUN,
            },
        ),
        share: r.share(
            "of-cores",
            Bounds {
                default: None,
                zero: true,
                most: 1_000 * ONE,
            },
        ),
    }
}
