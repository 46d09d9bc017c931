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

/// Why a server's status is not available.
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
        "no majority confirms which version is the newest; ask another machine, or again later"
    )]
    Unconfirmed,
    #[error("this machine holds no copy of the versions; ask another one")]
    NoReplica,
    /// The server's own words.
    #[error("{0}")]
    Server(String),
}

/// A server's view of the versions and of the processes that are attached to it. All but the name and the members is
/// missing on a server that holds no copy of the versions.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct VersionsResponse {
    pub(super) name: String,
    pub(super) members: Vec<MemberAddress>,
    /// Whether the server holds a copy of the versions.
    #[serde(rename = "here")]
    pub(super) has_copy: Option<bool>,
    /// Whether a leader confirmed with a majority that the version was the newest when the server was asked.
    pub(super) current: Option<bool>,
    /// Newest version.
    pub(super) version: Option<u64>,
    pub(super) digest: Option<String>,
    /// Number of attached processes.
    pub(super) attached: Option<u64>,
    pub(super) versions: Vec<VersionProgress>,
    /// Versions that attached processes rejected, as they are printed with `--json`.
    #[serde(rename = "refusals")]
    pub(super) rejections: Vec<Value>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct MemberAddress {
    pub(super) name: String,
    pub(super) address: String,
}

/// How far one version was rolled out to the processes of one server.
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
    pub(super) slowest: Option<SlowestProcess>,
}

/// A process that does not hold a version, ordered by the version that it holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub(super) struct SlowestProcess {
    pub(super) version: u64,
    pub(super) name: String,
}

/// The newest `count` versions on a server, and their progress.
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
/// The contents are never older than the version that was confirmed just before: "nothing changes" and "made from
/// another version" are said of what the group has committed, not of what one machine has applied.
///
/// # Errors
/// [`QueryError::Unconfirmed`] if the server cannot say which version is the newest.
pub(super) fn fetch_newest(server: SocketAddr) -> Result<DecodedSnapshot, QueryError> {
    let response = query_versions(server, 1)?;
    if response.has_copy == Some(false) {
        return Err(QueryError::NoReplica);
    }
    if response.current != Some(true) {
        return Err(QueryError::Unconfirmed);
    }
    let newest = fetch_replica(server)?;
    // The machine may have started over with an empty disk since it answered.
    if Some(newest.version) < response.version {
        return Err(QueryError::Unconfirmed);
    }
    Ok(newest)
}

/// What a server's replica holds.
fn fetch_replica(server: SocketAddr) -> Result<DecodedSnapshot, QueryError> {
    let compressed = exchange(server, &status::encode_question("whole"))?;
    if compressed.is_empty() {
        return Ok(DecodedSnapshot::default());
    }
    Ok(snapshot::decode(&compressed)?)
}
