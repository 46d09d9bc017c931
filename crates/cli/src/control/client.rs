//! Requests to a config server.

use crate::cluster_client::exchange;
use rainstand_cluster::status;
use rainstand_config_distribution::snapshot::{self, DecodedSnapshot};
use rainstand_config_distribution::UpdateError;
use serde::Deserialize;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a server's state cannot be queried.
#[derive(Debug, Error)]
pub(super) enum QueryError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Snapshot(#[from] UpdateError),
    /// The server's replica may be behind: no leader confirmed it with a majority.
    #[error(
        "no majority confirms which version is the newest; query another server, or retry later"
    )]
    Unconfirmed,
    #[error("this server holds no copy of the versions; query another one")]
    NoReplica,
    /// An error message from the server.
    #[error("{0}")]
    Server(String),
}

/// A server's view of the versions and of its subscribers. All fields except the name and the members are missing if
/// the server holds no copy of the versions.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct VersionsResponse {
    pub(super) name: String,
    pub(super) members: Vec<MemberAddress>,
    /// Whether the server holds a copy of the versions.
    #[serde(rename = "here")]
    pub(super) has_copy: Option<bool>,
    /// Whether a leader confirmed with a majority that the version was the newest at the time of the request.
    pub(super) current: Option<bool>,
    /// Newest version.
    pub(super) version: Option<u64>,
    pub(super) digest: Option<String>,
    /// Number of subscribers.
    pub(super) attached: Option<u64>,
    pub(super) versions: Vec<VersionProgress>,
    /// Versions that subscribers rejected, as printed with `--json`.
    #[serde(rename = "refusals")]
    pub(super) rejections: Vec<Value>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct MemberAddress {
    pub(super) name: String,
    pub(super) address: String,
}

/// Rollout progress of one version among the subscribers of one server.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct VersionProgress {
    pub(super) version: u64,
    /// When it was committed, in milliseconds since the Unix epoch.
    pub(super) at_ms: Option<u64>,
    #[serde(rename = "things")]
    pub(super) changed_resources: u64,
    #[serde(rename = "confirmed")]
    pub(super) acknowledged: u64,
    #[serde(rename = "refused")]
    pub(super) rejected: u64,
    pub(super) behind: u64,
    pub(super) slowest: Option<SlowestSubscriber>,
}

/// A subscriber that is behind a version, ordered by the version that it holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub(super) struct SlowestSubscriber {
    pub(super) version: u64,
    pub(super) name: String,
}

/// The newest `count` versions on a server, with their rollout progress.
pub(super) fn query_versions(
    server: SocketAddr,
    count: usize,
) -> Result<VersionsResponse, QueryError> {
    let request = status::encode_question(&format!("versions {count}"));
    let response: Value = serde_json::from_slice(&exchange(server, &request)?)?;
    if let Some(error) = response["error"].as_str() {
        return Err(QueryError::Server(error.to_owned()));
    }
    Ok(serde_json::from_value(response)?)
}

/// The newest committed version, from a server's replica; version 0, which is empty, if there is none.
///
/// The contents are never older than the version that was confirmed just before, so "nothing changes" and "made from
/// another version" refer to what the group has committed, not to what one server has applied.
///
/// # Errors
/// [`QueryError::Unconfirmed`] if the server does not know which version is the newest.
pub(super) fn fetch_newest(server: SocketAddr) -> Result<DecodedSnapshot, QueryError> {
    let response = query_versions(server, 1)?;
    if response.has_copy == Some(false) {
        return Err(QueryError::NoReplica);
    }
    if response.current != Some(true) {
        return Err(QueryError::Unconfirmed);
    }
    let newest = fetch_replica(server)?;
    // The server may have restarted with an empty disk since its first response.
    if Some(newest.version) < response.version {
        return Err(QueryError::Unconfirmed);
    }
    Ok(newest)
}

/// The version in a server's replica.
fn fetch_replica(server: SocketAddr) -> Result<DecodedSnapshot, QueryError> {
    let compressed = exchange(server, &status::encode_question("whole"))?;
    if compressed.is_empty() {
        return Ok(DecodedSnapshot::default());
    }
    Ok(snapshot::decode(&compressed)?)
}
