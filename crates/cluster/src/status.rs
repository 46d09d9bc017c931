//! Questions of operators to any member: one question in a frame, one answer in JSON, in text for metrics, or the packed
//! snapshot of the published configuration. A version that is to be published comes in a frame of its own.

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

/// The first bytes of a question. No protobuf message of a member begins so.
const QUESTION_PREFIX: &[u8] = b"ask ";
/// The first bytes of a version that is to be published.
const PUBLISH_PREFIX: &[u8] = b"publish ";
/// The longest question, in bytes.
const MAX_QUESTION_BYTES: usize = 4_096;
/// For a version to be committed: a few elections.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// For a read to be confirmed: a few elections, and less than an operator's command waits for an answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Versions that are listed where the question names no number.
const DEFAULT_LISTED_VERSIONS: usize = 16;

/// The words of a question, if the message is one.
pub fn decode_question(message: &[u8]) -> Option<&str> {
    std::str::from_utf8(message.strip_prefix(QUESTION_PREFIX)?)
        .ok()
        .filter(|words| words.len() <= MAX_QUESTION_BYTES)
}

/// A question as a message.
pub fn encode_question(words: &str) -> Vec<u8> {
    [QUESTION_PREFIX, words.as_bytes()].concat()
}

/// A version to be published as a message.
pub fn encode_publish(publish: &Publish) -> Vec<u8> {
    [PUBLISH_PREFIX, &publish.encode_to_vec()].concat()
}

/// The version that is to be published, if the message holds one.
pub fn decode_publish(message: &[u8]) -> Option<Publish> {
    Publish::decode(message.strip_prefix(PUBLISH_PREFIX)?).ok()
}

/// Commits a version; the answer in JSON.
pub(crate) async fn commit_version(member: &Rc<ClusterMember>, publish: Publish) -> Vec<u8> {
    let version = publish.from + 1;
    let answer = match commit(member, publish).await {
        Ok(ClaimOutcome::Recorded) => json!({"committed": version}),
        Ok(ClaimOutcome::Conflict(reason)) => json!({"conflict": String::from_utf8_lossy(&reason)}),
        Ok(ClaimOutcome::Rejected(reason)) => json!({"refused": String::from_utf8_lossy(&reason)}),
        Ok(other) => json!({"refused": outcome_word(&other)}),
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
    // The leader applies a version before its followers do: who is told of it finds it here. If nobody confirms that in
    // time, the version is committed all the same, and the next read here waits for it.
    if !planted("stale-publish") {
        member
            .confirm_read(SHARD_OF_REGISTERS, CONFIRM_TIMEOUT)
            .await;
    }
    Ok(outcome)
}

/// An outcome as the JSON output names it.
fn outcome_word(outcome: &ClaimOutcome) -> &'static str {
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
/// What operators act on is confirmed by the shard's leader first, and the answer says whether it was: the replica here
/// may be behind by any amount after a partition or a stop of the process.
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

/// JSON with its keys in alphabetical order.
fn json_bytes(report: &impl Serialize) -> Vec<u8> {
    let value = serde_json::to_value(report).unwrap_or_default();
    value.to_string().into()
}

/// The newest published version, packed; empty if there is none, or no replica of it here.
fn packed_snapshot(member: &ClusterMember) -> Vec<u8> {
    member.inspect(|state| {
        let versions = state
            .published(state.now())
            .map(|published| published.versions);
        let versions = versions.filter(|versions| versions.version() > 0);
        versions
            .and_then(|all| snapshot::encode(all.version(), all.state()).ok())
            .unwrap_or_default()
    })
}

/// A disk or a digest as the JSON output writes it.
fn hexadecimal(number: u64) -> String {
    format!("{number:016x}")
}
