//! Operators' questions, which every member answers: each frame holds one question. The answer is JSON, text for
//! metrics, or the packed snapshot of the published configuration. A version to be published is sent in its own frame.

mod metrics;
mod report;
mod rollout;

use crate::driver::ClusterMember;
use bytes::Bytes;
use prost::Message as _;
use rainstand_config_distribution::snapshot;
use rainstand_raft::plant::planted;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Command, Operation};
use rainstand_replicated_state::member::ReadOutcome;
use rainstand_replicated_state::placement::SHARD_OF_REGISTERS;
use rainstand_replicated_state::versions::Publish;
use serde::Serialize;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// The first bytes of a question. No protobuf message of a member starts with them.
const QUESTION_PREFIX: &[u8] = b"ask ";
/// The first bytes of a message that holds a version to be published.
const PUBLISH_PREFIX: &[u8] = b"publish ";
/// The longest question, in bytes.
const MAX_QUESTION_BYTES: usize = 4_096;
/// Time limit for committing a version: long enough for a few elections.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for confirming a read: long enough for a few elections, and shorter than the time that an operator's
/// command waits for an answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of versions that are listed if the question specifies none.
const DEFAULT_LISTED_VERSIONS: usize = 16;

/// The text of a question; `None` if the message is not a question.
pub fn decode_question(message: &[u8]) -> Option<&str> {
    std::str::from_utf8(message.strip_prefix(QUESTION_PREFIX)?)
        .ok()
        .filter(|text| text.len() <= MAX_QUESTION_BYTES)
}

/// Encodes a question as a message.
pub fn encode_question(text: &str) -> Vec<u8> {
    [QUESTION_PREFIX, text.as_bytes()].concat()
}

/// Encodes a version to be published as a message.
pub fn encode_publish(publish: &Publish) -> Vec<u8> {
    [PUBLISH_PREFIX, &publish.encode_to_vec()].concat()
}

/// Decodes the version to be published; `None` if the message holds none.
pub fn decode_publish(message: &[u8]) -> Option<Publish> {
    Publish::decode(message.strip_prefix(PUBLISH_PREFIX)?).ok()
}

/// Commits a version; returns the answer in JSON.
pub(crate) async fn commit_version(member: &Rc<ClusterMember>, publish: Publish) -> Vec<u8> {
    let version = publish.from + 1;
    let answer = match commit(member, publish).await {
        Ok(ClaimOutcome::Recorded) => json!({"committed": version}),
        Ok(ClaimOutcome::Conflict(reason)) => json!({"conflict": String::from_utf8_lossy(&reason)}),
        Ok(ClaimOutcome::Rejected(reason)) => json!({"refused": String::from_utf8_lossy(&reason)}),
        Ok(other) => json!({"refused": outcome_name(&other)}),
        Err(reason) => json!({"unknown": reason}),
    };
    answer.to_string().into()
}

async fn commit(
    member: &Rc<ClusterMember>,
    mut publish: Publish,
) -> Result<ClaimOutcome, &'static str> {
    let rejected = |reason: &'static str| Ok(ClaimOutcome::Rejected(reason.into()));
    if member.config_server().is_none() {
        return rejected("this member is no control machine");
    }
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    publish.published_at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let claim = member.inspect(|state| state.claim(&[]));
    let command = Command {
        key: Bytes::from_static(b"configuration"),
        claim,
        operation: Some(Operation::Publish(publish)),
    };
    let (sender, receiver) = oneshot::channel();
    let sender = Cell::new(Some(sender));
    let reply = move |outcome| {
        if let Some(sender) = sender.take() {
            let _ = sender.send(outcome);
        }
    };
    if member
        .request(command, COMMIT_TIMEOUT, Rc::new(reply))
        .is_none()
    {
        return rejected("this member takes no questions now");
    }
    let outcome = receiver
        .await
        .ok()
        .flatten()
        .ok_or("no majority answered in time: it may be committed yet, see the versions")?;
    // The leader applies a version before its followers do. Wait until the local replica has it, so that the client
    // can read it here after the answer. If the read is not confirmed in time, the version is committed nevertheless,
    // and the next read here waits for it.
    if !planted("stale-publish") {
        member
            .confirm_read(SHARD_OF_REGISTERS, CONFIRM_TIMEOUT)
            .await;
    }
    Ok(outcome)
}

/// The name of an outcome in the JSON output.
fn outcome_name(outcome: &ClaimOutcome) -> &'static str {
    match outcome {
        ClaimOutcome::Granted => "Granted",
        ClaimOutcome::Completed(_) => "Known",
        ClaimOutcome::InProgress => "Running",
        ClaimOutcome::Indeterminate => "Uncertain",
        ClaimOutcome::KeyMismatch => "Other",
        ClaimOutcome::Withdrawn => "Withdrawn",
        ClaimOutcome::CapacityExceeded => "Full",
        ClaimOutcome::Recorded => "Noted",
        ClaimOutcome::NotHeld => "Gone",
        ClaimOutcome::Conflict(_) => "Conflict",
        ClaimOutcome::Rejected(_) => "Refused",
    }
}

/// The answer to a question: JSON, `OpenMetrics` text, or the packed snapshot.
///
/// Reads of keys and versions, which operators act on, are first confirmed by the shard's leader, and the answer says
/// whether they were: the local replica may be arbitrarily far behind after a partition or a suspension of the process.
pub(crate) async fn answer_question(member: &ClusterMember, question: &str) -> Vec<u8> {
    let (name, argument) = question.split_once(' ').unwrap_or((question, ""));
    member.catch_up_time();
    match name {
        "whole" if question == "whole" => packed_snapshot(member),
        "status" => json_bytes(&report::member(member)),
        "members" => json_bytes(&report::peers(member)),
        "why" => {
            let key = report::key_bytes(argument);
            let shard = member.inspect(|state| state.key_state(&key).shard);
            let outcome = member.confirm_read(shard, CONFIRM_TIMEOUT).await;
            json_bytes(&report::key(member, &key, outcome))
        }
        "versions" => {
            let max_versions = argument.parse().unwrap_or(DEFAULT_LISTED_VERSIONS);
            let outcome = if planted("stale-publish") {
                ReadOutcome::Confirmed
            } else {
                member
                    .confirm_read(SHARD_OF_REGISTERS, CONFIRM_TIMEOUT)
                    .await
            };
            rollout::answer(member, max_versions, outcome)
                .to_string()
                .into()
        }
        "metrics" => metrics::text(member).into_bytes(),
        _ => unknown_question(name).to_string().into(),
    }
}

fn unknown_question(name: &str) -> Value {
    json!({
        "error": format!(
            "{name:.40} is no question: status, members, why KEY, versions, whole, metrics"
        )
    })
}

/// Serializes a report as JSON with its keys in alphabetical order.
fn json_bytes(report: &impl Serialize) -> Vec<u8> {
    let value = serde_json::to_value(report).unwrap_or_default();
    value.to_string().into()
}

/// The packed snapshot of the newest published version; empty if there is none, or no local replica of it.
fn packed_snapshot(member: &ClusterMember) -> Vec<u8> {
    member.inspect(|state| {
        let versions = state
            .published(state.now())
            .map(|published| published.versions);
        let versions = versions.filter(|versions| versions.version() > 0);
        versions
            .and_then(|versions| snapshot::encode(versions.version(), versions.state()).ok())
            .unwrap_or_default()
    })
}

/// Formats a disk's identity or a digest for the JSON output.
fn hexadecimal(number: u64) -> String {
    format!("{number:016x}")
}
