//! Sums that are merged without waiting: what each node charged each tenant, and what it can take.
//!
//! Each node tells only of itself, under its disk: the number of the disk's start as epoch, and totals that grow within an epoch. Joining takes the
//! later epoch, and within one the larger of each, so the order, number and repetition of messages do not matter; a node
//! that comes back with lower counts has a later epoch. Whoever reads takes what was added since its last look, and leaves
//! out a node whose count of reports has not moved for longer than a bound.

use rainstand_raft::plant::planted;
use std::collections::BTreeMap;
use std::time::Duration;

/// Nodes and tenants that are kept: far past any group.
const NODES: usize = 256;
const TENANTS: usize = 4_096;

/// What one node tells of itself.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GossipReport {
    /// The starts of its disk; later ones replace earlier ones.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Reports of this epoch.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Charged run time by tenant, in microseconds, since the epoch began.
    #[prost(btree_map = "string, uint64", tag = "3")]
    pub charged_us: BTreeMap<String, u64>,
    /// What it can take more, in thousandths of a ticket at once.
    #[prost(uint64, tag = "4")]
    pub spare_capacity: u64,
    /// Whose it is.
    #[prost(uint64, tag = "5")]
    pub disk: u64,
}

impl GossipReport {
    /// The later of both; see the module's head.
    pub fn merge(&mut self, other: &GossipReport) {
        if other.epoch > self.epoch {
            *self = other.clone();
            return;
        }
        if other.epoch < self.epoch {
            return;
        }
        for (tenant, spent) in &other.charged_us {
            let own = self.charged_us.entry(tenant.clone()).or_default();
            *own = if planted("sums-twice") {
                *own + spent
            } else {
                (*own).max(*spent)
            };
        }
        // Of two reports the later tells the room; of one report, told twice, both tell the same.
        self.spare_capacity = match other.sequence.cmp(&self.sequence) {
            std::cmp::Ordering::Greater => other.spare_capacity,
            std::cmp::Ordering::Less => self.spare_capacity,
            std::cmp::Ordering::Equal => self.spare_capacity.max(other.spare_capacity),
        };
        self.sequence = self.sequence.max(other.sequence);
    }
}

/// All nodes' reports, by disk: a name that came back with another disk counts its starts anew.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipReports(BTreeMap<u64, GossipReport>);

impl GossipReports {
    pub fn merge(&mut self, report: &GossipReport) {
        let disk = report.disk;
        if report.charged_us.len() > TENANTS {
            return;
        }
        let room = self.0.len() < NODES;
        match self.0.get_mut(&disk) {
            Some(known) => known.merge(report),
            None if room => {
                self.0.insert(disk, report.clone());
            }
            None => {}
        }
    }

    pub fn get(&self, disk: u64) -> Option<&GossipReport> {
        self.0.get(&disk)
    }

    /// Forgets the disks of which nothing more will come.
    pub fn keep(&mut self, known: impl Fn(u64) -> bool) {
        self.0.retain(|disk, _| known(*disk));
    }

    pub fn iter(&self) -> impl Iterator<Item = (u64, &GossipReport)> {
        self.0.iter().map(|(disk, report)| (*disk, report))
    }
}

/// One reader's view: what was added since it looked last, and who is too old to count.
#[derive(Clone, Debug, Default)]
pub struct GossipReader {
    seen: BTreeMap<u64, (GossipReport, Duration)>,
}

impl GossipReader {
    /// What the others charged each tenant since the last look, in microseconds. A node whose reports have not moved
    /// for `stale` adds nothing, and neither does its first report after that: when it was spent is not known.
    pub fn charges_since_last_read(
        &mut self,
        now: Duration,
        me: u64,
        reports: &GossipReports,
        stale: Duration,
    ) -> BTreeMap<String, u64> {
        let mut added = BTreeMap::new();
        self.seen.retain(|disk, _| reports.get(*disk).is_some());
        for (node, report) in reports.iter().filter(|(node, _)| *node != me) {
            let Some((seen, at)) = self.seen.get(&node) else {
                self.seen.insert(node, (report.clone(), now));
                continue;
            };
            if (seen.epoch, seen.sequence) == (report.epoch, report.sequence) {
                continue;
            }
            if now.saturating_sub(*at) <= stale {
                for (tenant, spent) in &report.charged_us {
                    let before = if seen.epoch == report.epoch {
                        seen.charged_us.get(tenant)
                    } else {
                        None
                    };
                    let more = spent.saturating_sub(before.copied().unwrap_or(0));
                    if more > 0 {
                        *added.entry(tenant.clone()).or_default() += more;
                    }
                }
            }
            self.seen.insert(node, (report.clone(), now));
        }
        added
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn config() -> ProptestConfig {
        ProptestConfig {
            cases: 2_000,
            rng_seed: RngSeed::Fixed(5),
            ..ProptestConfig::default()
        }
    }

    fn report() -> impl Strategy<Value = GossipReport> {
        let spent = proptest::collection::btree_map("[abc]", 0u64..20, 0..3);
        (0u64..3, 0u64..4, spent, 0u64..5).prop_map(|(epoch, count, spent, room)| GossipReport {
            epoch,
            sequence: count,
            charged_us: spent,
            spare_capacity: room,
            disk: 1,
        })
    }

    fn joined(reports: &[&GossipReport]) -> GossipReport {
        let mut all = reports[0].clone();
        reports[1..].iter().for_each(|report| all.merge(report));
        all
    }

    #[test]
    fn joining_is_commutative_associative_and_idempotent() {
        proptest!(config(), |(a in report(), b in report(), c in report())| {
            prop_assert_eq!(joined(&[&a, &b]), joined(&[&b, &a]));
            prop_assert_eq!(joined(&[&joined(&[&a, &b]), &c]), joined(&[&a, &joined(&[&b, &c])]));
            prop_assert_eq!(joined(&[&a, &a]), a.clone());
            prop_assert_eq!(joined(&[&a, &b, &a, &b]), joined(&[&a, &b]));
        });
    }

    fn told(disk: u64, epoch: u64, count: u64, spent: u64) -> GossipReport {
        GossipReport {
            epoch,
            sequence: count,
            charged_us: [("t".to_owned(), spent)].into(),
            spare_capacity: 0,
            disk,
        }
    }

    #[test]
    fn a_reader_counts_each_charge_once_through_restarts_and_silence() {
        let (mut reader, mut reports) = (GossipReader::default(), GossipReports::default());
        let stale = Duration::from_secs(3);
        // Seconds, what n2 told, what that adds.
        let steps = [
            (0, told(2, 1, 1, 100), 0),
            (1, told(2, 1, 2, 150), 50),
            (1, told(2, 1, 2, 150), 0),
            (2, told(2, 1, 1, 100), 0),
            (3, told(2, 2, 1, 7), 7),
            (4, told(2, 1, 9, 900), 0),
            (5, told(2, 2, 2, 9), 2),
            (60, told(2, 2, 3, 500), 0),
            (61, told(2, 2, 4, 501), 1),
        ];
        for (at, report, wanted) in steps {
            reports.merge(&report);
            reports.merge(&told(1, 1, at, at));
            let added = reader.charges_since_last_read(Duration::from_secs(at), 1, &reports, stale);
            assert_eq!(added.get("t").copied().unwrap_or(0), wanted, "at {at} s");
        }
    }
}
