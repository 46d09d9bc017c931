//! `tenant` blocks.

use super::{or, Reader, Sort};
use crate::schema;
use crate::units::ONE;

pub(super) fn tenant(r: &mut Reader<'_, '_, '_, '_>) -> schema::Tenant {
    schema::Tenant {
        name: r.name(),
        share: r.share("share", or(0, ONE)),
        quota: r.rate("quota"),
        limits: r.reference("limits", Sort::Limits),
    }
}
