//! Sums that are merged without consensus: the run time that each node charged each tenant, and its spare capacity.
//!
//! Each node reports only about itself, under its disk: the disk's incarnation is the epoch, and totals grow within an
//! epoch. Merging takes the later epoch, and within one the larger of each total, so the order, number and repetition
//! of messages do not matter, and a node that restarts with lower totals has a later epoch. A reader takes what was
//! added since its last read, and leaves out nodes whose reports have not advanced for longer than a bound.

use rainstand_raft::plant::planted;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

/// Nodes whose reports are held: far more than any group has members.
const MAX_NODES: usize = 256;
/// Tenants of one report: far more than are charged at one node.
const MAX_TENANTS: usize = 4_096;

/// What one node reports about itself.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GossipReport {
    /// Incarnation of its disk; a later epoch replaces an earlier one.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Number of the report within its epoch.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Charged run time by tenant, in microseconds, since the epoch began.
    #[prost(btree_map = "string, uint64", tag = "3")]
    pub charged_us: BTreeMap<String, u64>,
    /// What the node can run in addition, in thousandths of a concurrent request.
    #[prost(uint64, tag = "4")]
    pub spare_capacity: u64,
    /// Identity of the node's disk.
    #[prost(uint64, tag = "5")]
    pub disk: u64,
}

impl GossipReport {
    /// Merges another report of the same disk into this one. The merge is commutative, associative and idempotent.
    pub fn merge(&mut self, other: &GossipReport) {
        match other.epoch.cmp(&self.epoch) {
            Ordering::Less => return,
            Ordering::Greater => {
                *self = other.clone();
                return;
            }
            Ordering::Equal => {}
        }
        for (tenant, charged) in &other.charged_us {
            let total = self.charged_us.entry(tenant.clone()).or_default();
            *total = if planted("sums-twice") {
                *total + charged
            } else {
                (*total).max(*charged)
            };
        }
        // The later report has the current capacity; repetitions of one report agree.
        self.spare_capacity = match other.sequence.cmp(&self.sequence) {
            Ordering::Greater => other.spare_capacity,
            Ordering::Less => self.spare_capacity,
            Ordering::Equal => self.spare_capacity.max(other.spare_capacity),
        };
        self.sequence = self.sequence.max(other.sequence);
    }
}

/// The merged reports of all nodes, by disk: a node that returns with another disk starts a new report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipReports(BTreeMap<u64, GossipReport>);

impl GossipReports {
    /// Merges a report. One with too many tenants, or of one node too many, is ignored.
    pub fn merge(&mut self, report: &GossipReport) {
        if report.charged_us.len() > MAX_TENANTS {
            return;
        }
        let has_capacity = self.0.len() < MAX_NODES;
        match self.0.get_mut(&report.disk) {
            Some(known) => known.merge(report),
            None if has_capacity => {
                self.0.insert(report.disk, report.clone());
            }
            None => {}
        }
    }

    /// The merged report of a disk.
    pub fn get(&self, disk: u64) -> Option<&GossipReport> {
        self.0.get(&disk)
    }

    /// Drops the reports of all disks but those for which the predicate holds.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.0.retain(|disk, _| is_known(*disk));
    }

    /// All merged reports, by disk.
    pub fn iter(&self) -> impl Iterator<Item = &GossipReport> {
        self.0.values()
    }
}

/// The report of a node as a reader saw it last.
#[derive(Clone, Debug)]
struct SeenReport {
    report: GossipReport,
    /// When the reader first saw it.
    seen_at: Duration,
}

impl SeenReport {
    /// What a later report adds to a tenant's total, in microseconds.
    fn added_charge(&self, later: &GossipReport, tenant: &str, charged_us: u64) -> u64 {
        let is_same_epoch = self.report.epoch == later.epoch;
        let before = self.report.charged_us.get(tenant).copied();
        charged_us.saturating_sub(before.filter(|_| is_same_epoch).unwrap_or(0))
    }
}

/// One reader of the reports: it counts each charge once.
#[derive(Clone, Debug, Default)]
pub struct GossipReader {
    seen: BTreeMap<u64, SeenReport>,
}

impl GossipReader {
    /// What nodes other than `own_disk` charged each tenant since the last read, in microseconds.
    ///
    /// A node whose reports have not advanced for `max_age` adds nothing, and neither does its first report after
    /// that: it is not known when its charges were made.
    pub fn charges_since_last_read(
        &mut self,
        now: Duration,
        own_disk: u64,
        reports: &GossipReports,
        max_age: Duration,
    ) -> BTreeMap<String, u64> {
        let mut added = BTreeMap::new();
        self.seen.retain(|disk, _| reports.get(*disk).is_some());
        for report in reports.iter().filter(|report| report.disk != own_disk) {
            let disk = report.disk;
            if let Some(seen) = self.seen.get(&disk) {
                let position = (report.epoch, report.sequence);
                if (seen.report.epoch, seen.report.sequence) == position {
                    continue;
                }
                if now.saturating_sub(seen.seen_at) <= max_age {
                    add_charges(&mut added, seen, report);
                }
            }
            let seen = SeenReport {
                report: report.clone(),
                seen_at: now,
            };
            self.seen.insert(disk, seen);
        }
        added
    }
}

fn add_charges(added: &mut BTreeMap<String, u64>, seen: &SeenReport, report: &GossipReport) {
    for (tenant, charged_us) in &report.charged_us {
        let more = seen.added_charge(report, tenant, *charged_us);
        if more > 0 {
            *added.entry(tenant.clone()).or_default() += more;
        }
    }
}
