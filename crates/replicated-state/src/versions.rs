//! The configuration that a group publishes, as the log's commands make it: numbered versions, each made from the one
//! before it.
//!
//! | command | what becomes of it |
//! | --- | --- |
//! | made from the newest version, and it can be applied whole | the next version |
//! | the same once more, as a member that heard no answer asks again | noted, changes nothing |
//! | made from another version | a conflict: whoever made it did not know of what came since |
//! | it cannot be applied, or is too large | refused, with the reason |
//!
//! What is kept is the oldest version from which on each change is known (`base`), the changes since, and the newest
//! (`head`). Each member's copy does the same with the same entry, and a new one learns all of it with the snapshot.
//!
//! Invariants: the changes are without a gap and lead from `base` to `head`; their number and bytes are bounded.

use bytes::Bytes;
use prost::Message as _;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::frames::Delta;
use rainstand_config_distribution::{snapshot, UpdateError};
use std::collections::VecDeque;
use twox_hash::XxHash3_64;

/// Changes that are kept, and their bytes: what a control machine's own history holds.
const HISTORY: usize = 4_096;
const HISTORY_BYTES: usize = 4 << 20;
/// Bytes of one change in the log: two of them fit a link's frame. The whole of 5,400 routes and 23,000 tenants packed
/// is about half of it.
pub const MAX_CHANGE_BYTES: usize = 240 << 10;

/// A version that somebody made.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Publish {
    /// The version that it was made from.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// When, by the clock of the machine that took it, in milliseconds since 1970: for people.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// The change, encoded; or, where that is large, nothing and the whole packed instead.
    #[prost(bytes = "bytes", tag = "3")]
    pub delta: Bytes,
    #[prost(bytes = "bytes", tag = "4")]
    pub whole: Bytes,
}

impl Publish {
    /// What leads from a state, numbered `from`, to a configuration.
    ///
    /// # Errors
    /// Two things of one name, or more than a change may say.
    pub fn of(
        head: &ConfigState,
        from: u64,
        configuration: &rainstand_config::schema::Configuration,
    ) -> Result<Self, UpdateError> {
        let delta = head.delta_to(from, from + 1, configuration)?;
        let encoded = delta.encode_to_vec();
        if encoded.len() <= MAX_CHANGE_BYTES {
            return Ok(Self {
                from,
                delta: encoded.into(),
                ..Self::default()
            });
        }
        let whole = snapshot::encode(from + 1, &ConfigState::from_configuration(configuration)?)?;
        if whole.len() > MAX_CHANGE_BYTES {
            return Err(UpdateError::TooLarge(
                "more than one change may say, also when packed: publish it in parts",
            ));
        }
        Ok(Self {
            from,
            whole: whole.into(),
            ..Self::default()
        })
    }

    /// The same command has the same sum, whenever it was taken.
    fn sum(&self) -> u64 {
        XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(&self.delta), &self.whole)
    }
}

/// One version of the history.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Change {
    #[prost(message, required, tag = "1")]
    pub delta: Delta,
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    #[prost(fixed64, tag = "3")]
    sum: u64,
}

/// As a snapshot of the log keeps it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VersionsSnapshot {
    /// The base, packed; empty for version 0.
    #[prost(bytes = "bytes", tag = "1")]
    base: Bytes,
    #[prost(message, repeated, tag = "2")]
    history: Vec<Change>,
}

/// All that is published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    base: (u64, ConfigState),
    head: (u64, ConfigState),
    history: VecDeque<Change>,
    bytes: usize,
}

impl Versions {
    /// The newest version's number; 0: nothing was published.
    pub fn version(&self) -> u64 {
        self.head.0
    }

    pub fn state(&self) -> &ConfigState {
        &self.head.1
    }

    /// The oldest version from which on all changes are known.
    pub fn base(&self) -> (u64, &ConfigState) {
        (self.base.0, &self.base.1)
    }

    /// The changes that lead from a version to the newest, oldest first; none if they are not known any more.
    pub fn since(&self, version: u64) -> Option<impl DoubleEndedIterator<Item = &Change>> {
        let skip = usize::try_from(version.checked_sub(self.base.0)?).ok()?;
        (skip <= self.history.len()).then(|| self.history.range(skip..))
    }

    /// A committed command: the newest version's number, or a conflict with it, or why it is refused.
    ///
    /// # Errors
    /// As above; nothing has changed then.
    pub fn publish(&mut self, publish: &Publish) -> Result<(), UpdateError> {
        let (there, sum) = (self.head.0, publish.sum());
        if publish.from != there {
            let same = |change: &Change| change.delta.from == publish.from && change.sum == sum;
            let known = self.since(publish.from).and_then(|mut since| since.next());
            return if known.is_some_and(same) {
                Ok(())
            } else {
                Err(UpdateError::VersionMismatch {
                    base: publish.from,
                    current: there,
                })
            };
        }
        if publish.delta.len() + publish.whole.len() > MAX_CHANGE_BYTES {
            return Err(UpdateError::TooLarge("more than one change may say"));
        }
        let delta = if publish.whole.is_empty() {
            Delta::decode(publish.delta.clone()).map_err(|_| UpdateError::MalformedFrame)?
        } else {
            let state = snapshot::decode(&publish.whole)?.state;
            self.head
                .1
                .delta_to(there, there + 1, &state.configuration()?)?
        };
        if (delta.from, delta.to) != (there, there + 1) {
            return Err(UpdateError::VersionMismatch {
                base: delta.from,
                current: there,
            });
        }
        self.head.1.apply(&delta)?;
        self.head.0 = delta.to;
        self.bytes += delta.encoded_len();
        self.history.push_back(Change {
            delta,
            at_ms: publish.at_ms,
            sum,
        });
        while self.history.len() > HISTORY || self.bytes > HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                break;
            };
            self.bytes -= oldest.delta.encoded_len();
            // It was applied to the same state before.
            self.base.1.apply(&oldest.delta)?;
            self.base.0 = oldest.delta.to;
        }
        Ok(())
    }

    /// None where nothing was published. The same state gives the same bytes.
    pub fn keep(&self) -> Option<VersionsSnapshot> {
        if self.head.0 == 0 {
            return None;
        }
        let (version, state) = &self.base;
        // One that is too large to be packed could not have come in: a whole is packed by whoever publishes it.
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

    /// What a snapshot kept.
    ///
    /// # Errors
    /// If it is none that [`Versions::keep`] made.
    pub fn restored(kept: Option<VersionsSnapshot>) -> Result<Self, UpdateError> {
        let Some(VersionsSnapshot { base, history }) = kept else {
            return Ok(Self::default());
        };
        let base = if base.is_empty() {
            (0, ConfigState::default())
        } else {
            let decoded = snapshot::decode(&base)?;
            (decoded.version, decoded.state)
        };
        let mut all = Self {
            head: base.clone(),
            base,
            ..Self::default()
        };
        for change in history {
            if change.delta.from != all.head.0 || change.delta.to != all.head.0 + 1 {
                return Err(UpdateError::VersionMismatch {
                    base: change.delta.from,
                    current: all.head.0,
                });
            }
            all.head.1.apply(&change.delta)?;
            all.head.0 = change.delta.to;
            all.bytes += change.delta.encoded_len();
            all.history.push_back(change);
        }
        Ok(all)
    }
}
