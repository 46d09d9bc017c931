//! Status of subscribers and rollouts, for operators.

use super::history::HistoryEntry;
use super::report::{Counters, RolloutProgress, SubscriberStatus, SubscriberVersion};
use super::Publisher;

impl Publisher {
    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// All attached subscribers, in the order of their links.
    #[must_use]
    pub fn subscriber_statuses(&self) -> Vec<SubscriberStatus> {
        let statuses = self
            .sessions
            .iter()
            .map(|(link, session)| SubscriberStatus {
                identity: session.identity.clone(),
                link: *link,
                version: session.version,
                rejected: session.rejected.clone(),
            });
        statuses.collect()
    }

    /// Progress of the newest versions of the history, newest first, at most `limit` of them.
    #[must_use]
    pub fn progress(&self, limit: usize) -> Vec<RolloutProgress> {
        self.history
            .newest_first()
            .take(limit)
            .map(|entry| self.progress_of(entry))
            .collect()
    }

    fn progress_of(&self, entry: &HistoryEntry) -> RolloutProgress {
        let version = entry.delta.to;
        let mut progress = RolloutProgress {
            version,
            committed_at: entry.committed_at,
            changed_resources: entry.delta.upserts.len() + entry.delta.removals.len(),
            acknowledged: 0,
            rejected: 0,
            behind: 0,
            slowest: None,
        };
        for session in self.sessions.values() {
            if session.version >= version {
                progress.acknowledged += 1;
                continue;
            }
            if session.rejected_version() == Some(version) {
                progress.rejected += 1;
            } else {
                progress.behind += 1;
            }
            let is_slowest = progress
                .slowest
                .as_ref()
                .is_none_or(|slowest| session.version < slowest.version);
            if is_slowest {
                progress.slowest = Some(SubscriberVersion {
                    name: session.identity.name.clone(),
                    version: session.version,
                });
            }
        }
        progress
    }
}
