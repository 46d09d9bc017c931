//! `dependency` blocks: downstream services that nodes call.

use super::bounds::required;
use super::reader::{BlockReader, Keyword};
use super::BlockKind;
use crate::schema::{self, OnFailure};
use crate::units::ONE;

const ON_FAILURE: [Keyword<OnFailure>; 3] = [
    ("give-up", OnFailure::GiveUp),
    ("leave-out", OnFailure::LeaveOut),
    ("partial", OnFailure::Partial),
];

pub(super) fn dependency(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Dependency {
    schema::Dependency {
        name: r.name(),
        types: r.references("for", BlockKind::Type),
        share: r.share("share", required(ONE)),
        on_failure: r
            .required_keyword("on-failure", &ON_FAILURE)
            .unwrap_or(OnFailure::Unspecified)
            .into(),
    }
}
