//! The configuration that a group publishes: numbered versions, each made from the one before it.
//!
//! | command | outcome |
//! | --- | --- |
//! | made from the newest version, and applicable | becomes the next version |
//! | the same command again, from a member that received no response | recorded, changes nothing |
//! | made from another version | conflict: its author did not know the versions since |
//! | not applicable, or too large | rejected, with the reason |
//!
//! Held are the oldest version from which on every change is known (`base`), the changes since, and the newest version
//! (`head`). Every replica does the same at the same entry; a new one receives all of it with the log's snapshot.
//!
//! Invariants: the changes lead from `base` to `head` without a gap; their number and their bytes are bounded.

use bytes::Bytes;
use prost::Message as _;
use rainstand_config::schema::Configuration;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::frames::Delta;
use rainstand_config_distribution::{snapshot, UpdateError};
use std::collections::VecDeque;
use twox_hash::XxHash3_64;

/// Changes of the history: as many as a config server's own history holds.
const MAX_HISTORY_CHANGES: usize = 4_096;
/// Encoded bytes of the changes of the history.
const MAX_HISTORY_BYTES: usize = 4 << 20;
/// Encoded bytes of one change in the log: two of them fit a frame of a connection. A packed snapshot of 5,400 routes
/// and 23,000 tenants has about half of it.
pub const MAX_CHANGE_BYTES: usize = 240 << 10;

/// A command that publishes a version.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Publish {
    /// The version that it was made from.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// When the publishing member received it, in milliseconds since 1970; informational.
    #[prost(uint64, tag = "2")]
    pub published_at_ms: u64,
    /// The encoded change; empty if that is too large, and `snapshot` is sent instead.
    #[prost(bytes = "bytes", tag = "3")]
    pub delta: Bytes,
    /// The whole next version, packed; empty unless `delta` would be too large.
    #[prost(bytes = "bytes", tag = "4")]
    pub snapshot: Bytes,
}

impl Publish {
    /// The command that turns version `from`, whose state is `head`, into a configuration.
    ///
    /// # Errors
    ///
    /// If two resources of the configuration have the same name, or the change is too large for one command.
    pub fn from_configuration(
        head: &ConfigState,
        from: u64,
        configuration: &Configuration,
    ) -> Result<Self, UpdateError> {
        let delta = head
            .delta_to(from, from + 1, configuration)?
            .encode_to_vec();
        if delta.len() <= MAX_CHANGE_BYTES {
            return Ok(Self {
                from,
                delta: delta.into(),
                ..Self::default()
            });
        }
        let state = ConfigState::from_configuration(configuration)?;
        let packed = snapshot::encode(from + 1, &state)?;
        if packed.len() > MAX_CHANGE_BYTES {
            return Err(UpdateError::TooLarge(
                "more than one change may say, also when packed: publish it in parts",
            ));
        }
        Ok(Self {
            from,
            snapshot: packed.into(),
            ..Self::default()
        })
    }

    /// Hash of the contents; repetitions of one command have the same.
    fn fingerprint(&self) -> u64 {
        XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(&self.delta), &self.snapshot)
    }
}

/// One version of the history.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Change {
    /// What it changed.
    #[prost(message, required, tag = "1")]
    pub delta: Delta,
    /// When it was published, in milliseconds since 1970; informational.
    #[prost(uint64, tag = "2")]
    pub published_at_ms: u64,
    /// Fingerprint of the command that published it.
    #[prost(fixed64, tag = "3")]
    fingerprint: u64,
}

/// The published versions as a snapshot of the log holds them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VersionsSnapshot {
    /// The base, packed; empty for version 0.
    #[prost(bytes = "bytes", tag = "1")]
    base: Bytes,
    #[prost(message, repeated, tag = "2")]
    history: Vec<Change>,
}

/// A version of the configuration with its contents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedState {
    /// Number of the version; 0 before the first one was published.
    pub version: u64,
    /// Its contents.
    pub state: ConfigState,
}

impl VersionedState {
    fn apply(&mut self, delta: &Delta) -> Result<(), UpdateError> {
        self.state.apply(delta)?;
        self.version = delta.to;
        Ok(())
    }

    /// Whether a change leads from this version to the next.
    fn precedes(&self, delta: &Delta) -> bool {
        (delta.from, delta.to) == (self.version, self.version + 1)
    }

    fn mismatch(&self, base: u64) -> UpdateError {
        UpdateError::VersionMismatch {
            base,
            current: self.version,
        }
    }
}

/// The published versions: base, history and newest version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    base: VersionedState,
    head: VersionedState,
    history: VecDeque<Change>,
    history_bytes: usize,
}

impl Versions {
    /// Number of the newest version; 0 before the first one was published.
    pub fn version(&self) -> u64 {
        self.head.version
    }

    /// Contents of the newest version.
    pub fn state(&self) -> &ConfigState {
        &self.head.state
    }

    /// The oldest version from which on every change is known.
    pub fn base(&self) -> &VersionedState {
        &self.base
    }

    /// The changes that lead from a version to the newest, oldest first; none if they are not known any more, or the
    /// version is not published yet.
    pub fn changes_since(&self, version: u64) -> Option<impl DoubleEndedIterator<Item = &Change>> {
        let skip = usize::try_from(version.checked_sub(self.base.version)?).ok()?;
        (skip <= self.history.len()).then(|| self.history.range(skip..))
    }

    /// Applies a committed command.
    ///
    /// # Errors
    ///
    /// [`UpdateError::VersionMismatch`] if it was made from another version than the newest; other errors if it is too
    /// large, cannot be decoded or cannot be applied. Nothing has changed then.
    pub fn publish(&mut self, publish: &Publish) -> Result<(), UpdateError> {
        if publish.from != self.head.version {
            return if self.is_repetition(publish) {
                Ok(())
            } else {
                Err(self.head.mismatch(publish.from))
            };
        }
        let delta = self.decode_delta(publish)?;
        if !self.head.precedes(&delta) {
            return Err(self.head.mismatch(delta.from));
        }
        self.head.apply(&delta)?;
        self.push_change(Change {
            delta,
            published_at_ms: publish.published_at_ms,
            fingerprint: publish.fingerprint(),
        });
        self.trim_history();
        Ok(())
    }

    /// Whether a command that was not made from the newest version is in the history.
    fn is_repetition(&self, publish: &Publish) -> bool {
        let known = self
            .changes_since(publish.from)
            .and_then(|mut changes| changes.next());
        known.is_some_and(|change| {
            change.delta.from == publish.from && change.fingerprint == publish.fingerprint()
        })
    }

    fn decode_delta(&self, publish: &Publish) -> Result<Delta, UpdateError> {
        if publish.delta.len() + publish.snapshot.len() > MAX_CHANGE_BYTES {
            return Err(UpdateError::TooLarge("more than one change may say"));
        }
        if publish.snapshot.is_empty() {
            return Delta::decode(publish.delta.clone()).map_err(|_| UpdateError::MalformedFrame);
        }
        let next = snapshot::decode(&publish.snapshot)?.state;
        let version = self.head.version;
        self.head
            .state
            .delta_to(version, version + 1, &next.configuration()?)
    }

    fn push_change(&mut self, change: Change) {
        self.history_bytes += change.delta.encoded_len();
        self.history.push_back(change);
    }

    /// Moves the base forward until the history is within its bounds. The version is published by then, so that this
    /// cannot fail: if a change that was applied to the same state once before does not apply again, the history goes.
    fn trim_history(&mut self) {
        while self.history.len() > MAX_HISTORY_CHANGES || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= oldest.delta.encoded_len();
            if self.base.apply(&oldest.delta).is_err() {
                self.base = self.head.clone();
                self.history.clear();
                self.history_bytes = 0;
            }
        }
    }

    /// As a snapshot of the log holds them; none if nothing was published. Equal versions give equal bytes.
    pub fn snapshot(&self) -> Option<VersionsSnapshot> {
        if self.head.version == 0 {
            return None;
        }
        let VersionedState { version, state } = &self.base;
        // A state that is too large to be packed could not have been published.
        let base = if *version == 0 {
            Vec::new()
        } else {
            snapshot::encode(*version, state).unwrap_or_default()
        };
        Some(VersionsSnapshot {
            base: base.into(),
            history: self.history.iter().cloned().collect(),
        })
    }

    /// The versions that a snapshot of the log holds.
    ///
    /// # Errors
    ///
    /// If it is not one that [`Versions::snapshot`] made.
    pub fn from_snapshot(snapshot: Option<VersionsSnapshot>) -> Result<Self, UpdateError> {
        let Some(VersionsSnapshot { base, history }) = snapshot else {
            return Ok(Self::default());
        };
        let base = if base.is_empty() {
            VersionedState::default()
        } else {
            let decoded = snapshot::decode(&base)?;
            VersionedState {
                version: decoded.version,
                state: decoded.state,
            }
        };
        let mut versions = Self {
            head: base.clone(),
            base,
            ..Self::default()
        };
        for change in history {
            if !versions.head.precedes(&change.delta) {
                return Err(versions.head.mismatch(change.delta.from));
            }
            versions.head.apply(&change.delta)?;
            versions.push_change(change);
        }
        Ok(versions)
    }
}
