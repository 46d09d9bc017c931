//! Simulates one fleet from its start until all nodes have the newest version.

use super::events::Event;
use super::HollowFleet;
use rainstand_config::schema::Configuration;
use std::io;
use std::time::Duration;

/// Virtual time for all nodes to attach at the start.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(15);
/// Virtual time after the last change, or after the outage if that ends later.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// An outage of config servers while changes are published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// No outage.
    None,
    /// One config server is killed halfway and stays down.
    OneKilled,
    /// All config servers are killed halfway and restart after this time.
    AllKilled(Duration),
    /// The regions are partitioned from the first change until one interval after the last.
    Partitioned,
}

/// A fleet to be measured.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of subscribing nodes.
    pub nodes: usize,
    /// Number of changes that are published.
    pub changes: usize,
    /// Time between two changes.
    pub interval: Duration,
    /// Outage during the changes.
    pub outage: Outage,
}

impl FleetSpec {
    /// Time from the first change until one interval after the last.
    fn duration(&self) -> Duration {
        self.interval * u32::try_from(self.changes).unwrap_or(u32::MAX).max(1)
    }
}

/// Measurements of one fleet.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// Times from commit to each node's confirmation in seconds, sorted; in a partitioned region, counted from the end
    /// of the partition.
    pub confirmed: Vec<f32>,
    /// Mean bytes per second of a node, sent and received, during the changes.
    pub mean_bytes_per_second: f64,
    /// Bytes per second of the busiest node, sent and received, during the changes.
    pub max_bytes_per_second: f64,
    /// Attachments to the busiest config server in its busiest second.
    pub max_attachments_per_second: usize,
    /// Attachments that config servers rejected.
    pub rejected_attachments: u64,
    /// Processor time of all config servers.
    pub servers_cpu: Duration,
    /// Processor time of all nodes.
    pub nodes_cpu: Duration,
    /// Virtual time that the processor times cover.
    pub simulated_time: Duration,
    /// Snapshots that were sent after the start.
    pub snapshots: u64,
}

impl Measurements {
    /// Time in seconds within which this fraction of the confirmations arrived.
    pub fn confirmation_time(&self, fraction: f64) -> Option<f64> {
        let last = self.confirmed.len().checked_sub(1)?;
        let index = (fraction * last as f64).ceil() as usize;
        let time = self.confirmed.get(index.min(last));
        time.map(|time| f64::from(*time))
    }
}

/// Simulates one fleet, from its start until all nodes have the newest version.
///
/// # Errors
/// If a node does not attach, or does not have the newest version at the end.
pub fn simulate(spec: &FleetSpec, configuration: &Configuration) -> io::Result<Measurements> {
    let mut fleet = HollowFleet::new(spec, configuration)?;
    fleet.run_to(ATTACH_TIMEOUT)?;
    fleet.check_all_attached()?;
    fleet.measurements.servers_cpu = Duration::ZERO;
    fleet.measurements.nodes_cpu = Duration::ZERO;
    fleet.measurements.max_attachments_per_second = 0;
    let snapshots = fleet.snapshots();
    let before: Vec<u64> = fleet.nodes.iter().map(|node| node.bytes).collect();
    let (start, duration) = (fleet.now, spec.duration());
    fleet.schedule_changes(spec);
    fleet.begin_outage(duration);
    fleet.run_to(start + duration)?;
    let nodes = fleet.nodes.iter().zip(&before);
    let bytes: Vec<u64> = nodes.map(|(node, before)| node.bytes - before).collect();
    // Counted from the end of the outage: config servers may restart after the last change.
    let recovered = match spec.outage {
        Outage::AllKilled(downtime) => duration.max(duration / 2 + downtime),
        _ => duration,
    };
    fleet.run_to(start + recovered + SETTLE_TIME)?;
    fleet.check_all_current()?;
    let seconds = duration.as_secs_f64();
    let mut measurements = std::mem::take(&mut fleet.measurements);
    let all_bytes = bytes.iter().sum::<u64>() as f64;
    measurements.mean_bytes_per_second = all_bytes / bytes.len().max(1) as f64 / seconds;
    measurements.max_bytes_per_second = bytes.iter().max().copied().unwrap_or(0) as f64 / seconds;
    measurements.simulated_time = recovered + SETTLE_TIME;
    measurements.snapshots = fleet.snapshots().saturating_sub(snapshots);
    measurements.rejected_attachments += fleet.rejected_attachments();
    measurements.confirmed.sort_by(f32::total_cmp);
    Ok(measurements)
}

impl HollowFleet {
    fn schedule_changes(&mut self, spec: &FleetSpec) {
        for change in 0..spec.changes {
            let wait = spec.interval * u32::try_from(change).unwrap_or(u32::MAX);
            self.schedule(wait, Event::Commit);
        }
    }

    fn begin_outage(&mut self, duration: Duration) {
        match self.outage {
            Outage::None => {}
            Outage::OneKilled => self.schedule(duration / 2, Event::Kill),
            Outage::AllKilled(downtime) => {
                self.schedule(duration / 2, Event::Kill);
                self.schedule(duration / 2 + downtime, Event::Restart);
            }
            Outage::Partitioned => {
                self.is_partitioned = true;
                for link in 0..self.links.len() {
                    // No frames cross the partition; nodes attached across it time out.
                    let (node, server) = (self.links[link].node, self.links[link].server);
                    self.links[link].is_open &= !self.are_partitioned(node, server);
                }
                self.schedule(duration, Event::Heal);
            }
        }
    }

    fn check_all_attached(&self) -> io::Result<()> {
        let unattached = self.nodes.iter().position(|node| !node.is_attached);
        unattached.map_or(Ok(()), |node| {
            Err(io::Error::other(format!(
                "node {node} is not attached after {ATTACH_TIMEOUT:?}"
            )))
        })
    }

    fn check_all_current(&self) -> io::Result<()> {
        let newest = self.log.len() as u64;
        for (number, node) in self.nodes.iter().enumerate() {
            let version = node.subscriber.version();
            if version != newest {
                return Err(io::Error::other(format!(
                    "node {number} has version {version} of {newest}"
                )));
            }
        }
        Ok(())
    }
}
