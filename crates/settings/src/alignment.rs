//! New settings for a running node, brought into the order in which it knows its classes and tenants.

use crate::fields::{entry_object, list, text_of, Fields};
use crate::{keys, SettingsError};
use serde_json::Value;
use std::collections::BTreeMap;

/// The settings with request classes and tenants in the order of the known indices: a new file may list them in
/// another order, and a running controller's tables are laid out by index.
///
/// # Errors
/// If the names are not the same ones, or an entry cannot be read.
pub fn align_names(
    settings: &Fields,
    classes: &BTreeMap<String, usize>,
    tenants: &BTreeMap<String, usize>,
) -> Result<Fields, SettingsError> {
    let class_positions = positions(settings, keys::REQUEST_CLASSES, classes)?;
    let tenant_positions = positions(settings, keys::TENANTS, tenants)?;
    let mut aligned = settings.clone();
    permute(&mut aligned, keys::REQUEST_CLASSES, &class_positions);
    permute(&mut aligned, keys::TENANTS, &tenant_positions);
    if let Some(Value::Object(machine_info)) = aligned.get_mut(keys::MACHINE) {
        permute(machine_info, keys::machine::CLASS_CALLS, &class_positions);
        permute(
            machine_info,
            keys::machine::CLASS_DEGRADED_SHARES,
            &class_positions,
        );
    }
    Ok(aligned)
}

/// For each known index, the position of its name in the list of the new settings.
fn positions(
    settings: &Fields,
    key: &str,
    known: &BTreeMap<String, usize>,
) -> Result<Vec<usize>, SettingsError> {
    let entries = list(settings, key);
    let mut positions = vec![None; known.len()];
    for (position, entry) in entries.iter().enumerate() {
        let name = text_of(entry_object(entry, key)?, keys::NAME)?;
        if let Some(&index) = known.get(name) {
            positions[index] = Some(position);
        }
    }
    let positions: Option<Vec<usize>> = positions.into_iter().collect();
    let same_names = positions.filter(|_| entries.len() == known.len());
    same_names.ok_or(SettingsError::NamesChanged)
}

/// Reorders a list, if there is one. An entry that the list is too short for becomes null, which is read as an
/// entry that is not there.
fn permute(fields: &mut Fields, key: &str, positions: &[usize]) {
    if let Some(Value::Array(entries)) = fields.get_mut(key) {
        let entry = |&position: &usize| entries.get(position).cloned().unwrap_or(Value::Null);
        *entries = positions.iter().map(entry).collect();
    }
}
