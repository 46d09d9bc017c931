//! One fleet from its start to when all hold the newest version, and what was measured.

use super::events::Event;
use super::HollowFleet;
use rainstand_config::schema::Configuration;
use std::io;
use std::time::Duration;

/// Until all are attached, at the start.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(15);
/// After the last change.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// What happens to control machines while changes are published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Nothing.
    None,
    /// One machine is killed in the middle, and stays away.
    OneKilled,
    /// All are killed in the middle, and come back after so long.
    AllKilled(Duration),
    /// One region hears nothing of the other from the first change to the last.
    Partitioned,
}

/// A fleet to be measured.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Processes that subscribe.
    pub nodes: usize,
    /// Changes that are published.
    pub changes: usize,
    /// Between two changes.
    pub every: Duration,
    /// What happens meanwhile.
    pub outage: Outage,
}

impl FleetSpec {
    /// From the first change until one interval after the last.
    fn duration(&self) -> Duration {
        self.every * u32::try_from(self.changes).unwrap_or(u32::MAX).max(1)
    }
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// From commit to each process's confirmation, in seconds, in order; of a parted region from its return.
    pub confirmed: Vec<f32>,
    /// Bytes a second of one process, both ways, from when all were attached: the mean.
    pub bytes: f64,
    /// The same of the busiest process.
    pub most_bytes: f64,
    /// Attachments of the busiest machine in its busiest second.
    pub most_attached: usize,
    /// Attachments that machines rejected.
    pub rejected_attachments: u64,
    /// Processor time of all machines.
    pub machines_cpu: Duration,
    /// Processor time of all processes.
    pub nodes_cpu: Duration,
    /// The virtual time that the processor times are for.
    pub lasted: Duration,
    /// Snapshots that were needed after the start.
    pub snapshots: u64,
}

impl Measurements {
    /// The time in seconds in which such a part was confirmed.
    pub fn within(&self, part: f64) -> Option<f64> {
        let last = self.confirmed.len().checked_sub(1)?;
        let at = (part * last as f64).ceil() as usize;
        let time = self.confirmed.get(at.min(last));
        time.map(|time| f64::from(*time))
    }
}

/// Plays one fleet, from its first attachment to when all hold the newest version.
///
/// # Errors
/// If any process does not attach, or does not hold it.
pub fn watch(spec: &FleetSpec, configuration: &Configuration) -> io::Result<Measurements> {
    let mut fleet = HollowFleet::new(spec, configuration)?;
    fleet.run_to(ATTACH_TIMEOUT)?;
    fleet.check_all_attached()?;
    fleet.measurements.machines_cpu = Duration::ZERO;
    fleet.measurements.nodes_cpu = Duration::ZERO;
    fleet.measurements.most_attached = 0;
    let snapshots = fleet.snapshots();
    let before: Vec<u64> = fleet.nodes.iter().map(|node| node.bytes).collect();
    let (start, duration) = (fleet.now, spec.duration());
    fleet.schedule_changes(spec);
    fleet.begin_outage(duration);
    fleet.run_to(start + duration)?;
    let nodes = fleet.nodes.iter().zip(&before);
    let bytes: Vec<u64> = nodes.map(|(node, before)| node.bytes - before).collect();
    // From when all is well again: machines may come back after the last change.
    let recovered = match spec.outage {
        Outage::AllKilled(away) => duration.max(duration / 2 + away),
        _ => duration,
    };
    fleet.run_to(start + recovered + SETTLE_TIME)?;
    fleet.check_all_current()?;
    let seconds = duration.as_secs_f64();
    let mut measurements = std::mem::take(&mut fleet.measurements);
    let all_bytes = bytes.iter().sum::<u64>() as f64;
    measurements.bytes = all_bytes / bytes.len().max(1) as f64 / seconds;
    measurements.most_bytes = bytes.iter().max().copied().unwrap_or(0) as f64 / seconds;
    measurements.lasted = recovered + SETTLE_TIME;
    measurements.snapshots = fleet.snapshots().saturating_sub(snapshots);
    measurements.rejected_attachments += fleet.rejected_attachments();
    measurements.confirmed.sort_by(f32::total_cmp);
    Ok(measurements)
}

impl HollowFleet {
    fn schedule_changes(&mut self, spec: &FleetSpec) {
        for change in 0..spec.changes {
            let wait = spec.every * u32::try_from(change).unwrap_or(u32::MAX);
            self.schedule(wait, Event::Commit);
        }
    }

    fn begin_outage(&mut self, duration: Duration) {
        match self.outage {
            Outage::None => {}
            Outage::OneKilled => self.schedule(duration / 2, Event::Kill),
            Outage::AllKilled(away) => {
                self.schedule(duration / 2, Event::Kill);
                self.schedule(duration / 2 + away, Event::Restart);
            }
            Outage::Partitioned => {
                self.is_partitioned = true;
                for link in 0..self.links.len() {
                    // Nothing is heard across; whoever was attached over there finds it silent.
                    let (node, machine) = (self.links[link].node, self.links[link].machine);
                    self.links[link].is_open &= !self.are_parted(node, machine);
                }
                self.schedule(duration, Event::Heal);
            }
        }
    }

    fn check_all_attached(&self) -> io::Result<()> {
        let unattached = self.nodes.iter().position(|node| !node.is_attached);
        unattached.map_or(Ok(()), |node| {
            Err(io::Error::other(format!(
                "process {node} is not attached after {ATTACH_TIMEOUT:?}"
            )))
        })
    }

    fn check_all_current(&self) -> io::Result<()> {
        let newest = self.log.len() as u64;
        for (number, node) in self.nodes.iter().enumerate() {
            let version = node.subscriber.version();
            if version != newest {
                return Err(io::Error::other(format!(
                    "process {number} holds version {version} of {newest}"
                )));
            }
        }
        Ok(())
    }
}
