//! Reordering new settings for a running node, so that classes and tenants keep their indices.

use crate::fields::{entry_object, list, text_of, Fields};
use crate::{keys, SettingsError};
use serde_json::Value;
use std::collections::BTreeMap;

/// The settings with request classes and tenants in the order of the known indices: new settings may list them in
/// another order, but the tables of a running controller are indexed by position.
///
/// # Errors
/// If the names differ, or if an entry cannot be read.
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

/// For each known index, the position of its name in the new list.
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

/// Reorders a list, if it exists. Entries that the list is too short to contain become null, which is read like a
/// missing entry.
fn permute(fields: &mut Fields, key: &str, positions: &[usize]) {
    if let Some(Value::Array(entries)) = fields.get_mut(key) {
        let entry = |&position: &usize| entries.get(position).cloned().unwrap_or(Value::Null);
        *entries = positions.iter().map(entry).collect();
    }
}
