//! `tenant` blocks: who sends requests, and what each may have.

use super::bounds::optional;
use super::reader::BlockReader;
use super::BlockKind;
use crate::schema;
use crate::units::ONE;

pub(super) fn tenant(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Tenant {
    schema::Tenant {
        name: r.name(),
        share: r.share("share", optional(0, ONE)),
        quota: r.rate("quota"),
        limits: r.reference("limits", BlockKind::Limits),
    }
}
