//! `dependency` blocks: what nodes call downstream.

use super::{must, Reader, Sort};
use crate::schema::{self, OnFailure};
use crate::units::ONE;

pub(super) fn dependency(r: &mut Reader<'_, '_, '_, '_>) -> schema::Dependency {
    let words = [
        ("give-up", OnFailure::GiveUp),
        ("leave-out", OnFailure::LeaveOut),
        ("partial", OnFailure::Partial),
    ];
    schema::Dependency {
        name: r.name(),
        types: r.references("for", Sort::Type),
        share: r.share("share", must(ONE)),
        on_failure: r
            .word("on-failure", &words, None)
            .unwrap_or(OnFailure::Unspecified)
            .into(),
    }
}
