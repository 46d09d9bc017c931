//! The answer to `versions`: published versions, and the progress of the attached subscribers.

use super::hexadecimal;
use crate::config_server::{ConfigServer, MAX_LISTED_VERSIONS};
use crate::driver::ClusterMember;
use rainstand_config_distribution::publisher::{RolloutProgress, SubscriberStatus};
use rainstand_replicated_state::member::ReadOutcome;
use rainstand_replicated_state::versions::Versions;
use serde_json::{json, Value};

/// Reports the published versions. `outcome` is the outcome of the preceding read of the versions.
pub(super) fn answer(member: &ClusterMember, max_versions: usize, outcome: ReadOutcome) -> Value {
    let Some(server) = member.config_server() else {
        return json!({"error": "this member is no control machine"});
    };
    let members: Vec<Value> = member
        .members()
        .iter()
        .map(|member| json!({"name": member.name, "address": member.address}))
        .collect();
    let subscribers = server.subscribers();
    let rejections = subscribers.iter().filter_map(rejection);
    let rejections: Vec<Value> = rejections.take(MAX_LISTED_VERSIONS).collect();
    member.inspect(|state| {
        let Some(published) = state.published(state.now()) else {
            return json!({"name": state.name(), "members": members, "here": false});
        };
        let versions = published.versions;
        json!({
            "name": state.name(),
            "members": members,
            "here": true,
            "current": outcome == ReadOutcome::Confirmed,
            "version": versions.version(),
            "digest": hexadecimal(versions.state().digest()),
            "things": versions.state().len(),
            "attached": subscribers.len(),
            "versions": rows(&server, versions, max_versions),
            "refusals": rejections,
        })
    })
}

/// The rejection of a subscriber whose version is older than the one that it rejected.
fn rejection(subscriber: &SubscriberStatus) -> Option<Value> {
    let rejected = subscriber.rejected.as_ref()?;
    if subscriber.version >= rejected.version {
        return None;
    }
    Some(json!({
        "name": subscriber.identity.name,
        "version": rejected.version,
        "reason": rejected.reason,
        "holds": subscriber.version,
    }))
}

fn rows(server: &ConfigServer, versions: &Versions, max_versions: usize) -> Vec<Value> {
    let newest = server.progress(max_versions);
    newest
        .into_iter()
        .map(|progress| row(versions, progress))
        .collect()
}

fn row(versions: &Versions, progress: RolloutProgress) -> Value {
    let previous = progress.version.checked_sub(1);
    let change = previous.and_then(|previous| versions.changes_since(previous)?.next());
    let slowest = progress
        .slowest
        .map(|slowest| json!({"name": slowest.name, "version": slowest.version}));
    json!({
        "version": progress.version,
        "at_ms": change.map(|change| change.published_at_ms),
        "things": progress.changed_resources,
        "confirmed": progress.acknowledged,
        "refused": progress.rejected,
        "behind": progress.behind,
        "slowest": slowest,
    })
}
