//! One fleet from its start to when all hold the newest version, and what was seen.

use super::events::Event;
use super::World;
use rainstand_config::schema::Configuration;
use std::io;
use std::time::Duration;

/// Until all are attached, at the start.
const GATHERS: Duration = Duration::from_secs(15);

/// After the last change.
const SETTLES: Duration = Duration::from_secs(30);

/// What happens while changes are published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// One machine is killed in the middle, and stays away.
    OneKilled,
    /// All are killed in the middle, and come back after so long.
    AllKilled(Duration),
    /// One region hears nothing of the other from the first change to the last.
    Parted,
}

/// A fleet to be watched.
#[derive(Clone, Debug)]
pub struct Spec {
    pub nodes: usize,
    pub changes: usize,
    pub every: Duration,
    pub trouble: Trouble,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// From commit to each process's confirmation, in seconds, in order; of a parted region from its return.
    pub confirmed: Vec<f32>,
    /// Bytes a second of one process, both ways, from when all were attached; the mean and the most.
    pub bytes: f64,
    pub most_bytes: f64,
    /// Attachments of the busiest machine in its busiest second, and those turned away.
    pub most_attached: usize,
    pub turned_away: u64,
    /// Processor time of all machines and of all processes, and the virtual time that they were for.
    pub machines_cpu: Duration,
    pub nodes_cpu: Duration,
    pub lasted: Duration,
    /// Snapshots that were needed after the start.
    pub snapshots: u64,
}

impl Seen {
    /// The time in which such a part was confirmed.
    pub fn within(&self, part: f64) -> Option<f64> {
        let last = self.confirmed.len().checked_sub(1)?;
        let at = (part * last as f64).ceil() as usize;
        self.confirmed
            .get(at.min(last))
            .map(|time| f64::from(*time))
    }
}

/// One fleet, from its gathering to when all hold the newest version.
///
/// # Errors
/// If any does not.
pub fn watch(spec: &Spec, configuration: &Configuration) -> io::Result<Seen> {
    let mut world = World::new(spec, configuration.clone())?;
    world.run_to(GATHERS)?;
    if let Some(lone) = world.nodes.iter().position(|node| !node.attached) {
        return Err(io::Error::other(format!(
            "process {lone} is not attached after {GATHERS:?}"
        )));
    }
    let before: Vec<u64> = world.nodes.iter().map(|node| node.bytes).collect();
    let snapshots = |world: &World| -> u64 {
        world
            .machines
            .iter()
            .flatten()
            .map(|source| source.counters().snapshots)
            .sum()
    };
    let had = snapshots(&world);
    (world.seen.machines_cpu, world.seen.nodes_cpu) = (Duration::ZERO, Duration::ZERO);
    world.seen.most_attached = 0;
    let start = world.now;
    let lasts = spec.every * u32::try_from(spec.changes).unwrap_or(u32::MAX).max(1);
    for k in 0..spec.changes {
        world.after(
            spec.every * u32::try_from(k).unwrap_or(u32::MAX),
            Event::Commit,
        );
    }
    match spec.trouble {
        Trouble::None => {}
        Trouble::OneKilled => world.after(lasts / 2, Event::Kill),
        Trouble::AllKilled(away) => {
            world.after(lasts / 2, Event::Kill);
            world.after(lasts / 2 + away, Event::Restart);
        }
        Trouble::Parted => {
            world.parted = true;
            for link in 0..world.links.len() {
                // Nothing is heard across; whoever was attached over there finds it silent.
                world.links[link].open &=
                    !world.apart(world.links[link].node, world.links[link].machine);
            }
            world.after(lasts, Event::Heal);
        }
    }
    world.run_to(start + lasts)?;
    let took: Vec<u64> = world
        .nodes
        .iter()
        .zip(&before)
        .map(|(node, before)| node.bytes - before)
        .collect();
    // From when all is well again: machines may come back after the last change.
    let well = match spec.trouble {
        Trouble::AllKilled(away) => lasts.max(lasts / 2 + away),
        _ => lasts,
    };
    world.run_to(start + well + SETTLES)?;
    let newest = world.log.len() as u64;
    if let Some(behind) = world
        .nodes
        .iter()
        .position(|node| node.subscriber.version() != newest)
    {
        let holds = world.nodes[behind].subscriber.version();
        return Err(io::Error::other(format!(
            "process {behind} holds version {holds} of {newest}"
        )));
    }
    let seconds = lasts.as_secs_f64();
    let mut seen = std::mem::take(&mut world.seen);
    seen.bytes = took.iter().sum::<u64>() as f64 / took.len().max(1) as f64 / seconds;
    seen.most_bytes = took.iter().max().copied().unwrap_or(0) as f64 / seconds;
    seen.lasted = well + SETTLES;
    seen.snapshots = snapshots(&world).saturating_sub(had);
    seen.turned_away += world
        .machines
        .iter()
        .flatten()
        .map(|source| source.counters().rejected_attachments)
        .sum::<u64>();
    seen.confirmed.sort_by(f32::total_cmp);
    Ok(seen)
}
