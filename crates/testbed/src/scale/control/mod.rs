//! A configuration on its way to the whole fleet: hollow subscribers and control machines, the code that decides and the
//! frames that it sends, on a virtual clock, without sockets. Times and bytes are the same on every run.
//!
//! Assumed, and so no figure from here: how long a frame is under way (`NEAR_DELAY`, `FAR_DELAY`), how long a change
//! takes to be known to a machine once it is committed (the same, once), how long a process takes to put a version into
//! force (`APPLY_TIME`). Left out: sockets, headers below the frames, the group's log. Each machine is one of six places
//! in two regions, each process in one of the six.

mod events;
mod links;
mod rows;
mod scenario;

pub use rows::rows;
pub use scenario::{watch, FleetSpec, Measurements, Outage};

use crate::scale::measure::own_cpu;
use bytes::Bytes;
use events::Event;
use links::Link;
use rainstand_config::schema::Configuration;
use rainstand_config_distribution::attachment::{AttachmentPolicy, NodeIdentity};
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::frames::Delta;
use rainstand_config_distribution::publisher::{Publisher, PublisherLimits};
use rainstand_config_distribution::subscriber::Subscriber;
use rainstand_config_distribution::{snapshot, UpdateError};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io;
use std::time::Duration;

/// Machines that are kept for control.
pub const MACHINES: usize = 6;
/// A prime past all lists: changes come to things far from each other.
const STRIDE: usize = 7919;

/// A process that subscribes.
struct Node {
    subscriber: Subscriber,
    attachment: AttachmentPolicy,
    /// Index of its link.
    link: Option<usize>,
    is_attached: bool,
    /// The newest version that it confirmed.
    confirmed: u64,
    /// Of all frames, both ways.
    bytes: u64,
}

/// All machines and processes of a fleet.
struct HollowFleet {
    now: Duration,
    /// Events that were scheduled so far.
    scheduled: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// None while a machine is away.
    machines: Vec<Option<Publisher>>,
    nodes: Vec<Node>,
    /// All links that were ever opened.
    links: Vec<Link>,
    /// Times of each machine's last attachments.
    attachments: Vec<VecDeque<Duration>>,
    configuration: Configuration,
    state: ConfigState,
    /// Changes, of which the first makes the first version.
    log: Vec<Delta>,
    /// When each of them was committed.
    committed: Vec<Duration>,
    /// The first version, packed.
    first: Bytes,
    is_partitioned: bool,
    /// When the regions reached each other again.
    healed: Option<Duration>,
    outage: Outage,
    measurements: Measurements,
}

/// Who a machine or a process is, by its number.
fn identity(role: &str, number: usize) -> NodeIdentity {
    NodeIdentity {
        name: format!("{role}-{number}"),
        region: format!("region-{}", number % 2),
        zone: format!("zone-{}", number % MACHINES),
    }
}

fn to_io_error(error: UpdateError) -> io::Error {
    io::Error::other(error)
}

impl HollowFleet {
    fn new(spec: &FleetSpec, configuration: &Configuration) -> io::Result<Self> {
        let mut fleet = Self {
            now: Duration::ZERO,
            scheduled: 0,
            events: BinaryHeap::new(),
            machines: Vec::new(),
            nodes: Vec::new(),
            links: Vec::new(),
            attachments: vec![VecDeque::new(); MACHINES],
            configuration: configuration.clone(),
            state: ConfigState::default(),
            log: Vec::new(),
            committed: Vec::new(),
            first: Bytes::new(),
            is_partitioned: false,
            healed: None,
            outage: spec.outage,
            measurements: Measurements::default(),
        };
        fleet.publish()?;
        let first = snapshot::encode(1, &fleet.state).map_err(to_io_error)?;
        fleet.first = Bytes::from(first);
        for machine in 0..MACHINES {
            let publisher = fleet.restored_publisher(machine as u64)?;
            fleet.machines.push(Some(publisher));
            fleet.schedule(Duration::ZERO, Event::Tick(machine));
        }
        for node in 0..spec.nodes {
            fleet.add_node(node);
        }
        Ok(fleet)
    }

    /// A publisher from the first version's snapshot.
    fn restored_publisher(&self, seed: u64) -> io::Result<Publisher> {
        let mut publisher = Publisher::new(self.now, PublisherLimits::default(), seed);
        publisher
            .restore(self.now, self.first.clone())
            .map_err(to_io_error)?;
        Ok(publisher)
    }

    fn add_node(&mut self, number: usize) {
        let machines: Vec<NodeIdentity> = (0..MACHINES).map(|k| identity("control", k)).collect();
        let own = identity("node", number);
        let attachment = AttachmentPolicy::new(self.now, &own, &machines, number as u64);
        // As from its disk: what is sent at a start with nothing in hand has a row of its own.
        let subscriber = Subscriber::with_version(self.now, own, 1, self.state.clone());
        self.nodes.push(Node {
            subscriber,
            attachment,
            link: None,
            is_attached: false,
            confirmed: 1,
            bytes: 0,
        });
        self.dial_when_due(number);
        self.schedule(Duration::ZERO, Event::CheckServer(number));
    }

    /// One change: a tenant's share, now and then a member's weight.
    fn publish(&mut self) -> io::Result<()> {
        let version = self.log.len() as u64 + 1;
        let at = version as usize * STRIDE;
        let tenants = self.configuration.tenants.len().max(1);
        let pools = self.configuration.pools.len().max(1);
        let pool = self.configuration.pools.get_mut(at % pools);
        if let Some(pool) = pool.filter(|_| version.is_multiple_of(4)) {
            if let Some(member) = pool.members.first_mut() {
                member.weight = 1_000_000 + version;
            }
        } else if let Some(tenant) = self.configuration.tenants.get_mut(at % tenants) {
            tenant.share = 1 + version;
        }
        let delta = self
            .state
            .delta_to(version - 1, version, &self.configuration)
            .map_err(to_io_error)?;
        self.state.apply(&delta).map_err(to_io_error)?;
        self.log.push(delta);
        self.committed.push(self.now);
        Ok(())
    }

    /// Calls into a machine's publisher, and does what follows; its processor time is counted.
    fn call_machine(&mut self, machine: usize, call: impl FnOnce(&mut Publisher, Duration)) {
        let now = self.now;
        if let Some(publisher) = &mut self.machines[machine] {
            let before = own_cpu();
            call(publisher, now);
            self.measurements.machines_cpu += own_cpu().saturating_sub(before);
        }
        self.apply_publisher_effects(machine);
    }

    /// Calls into a process's subscriber, and does what follows; its processor time is counted.
    fn call_node(&mut self, node: usize, call: impl FnOnce(&mut Subscriber, Duration)) {
        let before = own_cpu();
        call(&mut self.nodes[node].subscriber, self.now);
        self.measurements.nodes_cpu += own_cpu().saturating_sub(before);
        self.apply_subscriber_effects(node);
    }

    /// Snapshots that all machines have sent.
    fn snapshots(&self) -> u64 {
        let machines = self.machines.iter().flatten();
        machines
            .map(|publisher| publisher.counters().snapshots)
            .sum()
    }

    /// Attachments that the machines of now have rejected.
    fn rejected_attachments(&self) -> u64 {
        let machines = self.machines.iter().flatten();
        machines
            .map(|publisher| publisher.counters().rejected_attachments)
            .sum()
    }
}
