//! Configuration distribution to a complete fleet: hollow (simulated) subscribers and config servers run the real
//! protocol code and exchange real frames, on a virtual clock, without sockets. Virtual times and bytes are the same on
//! every run.
//!
//! Assumed and not measured: the delay of a frame (`NEAR_DELAY`, `FAR_DELAY`), the time until a committed change is
//! known to a config server (the same delay, once), and the time a node takes to put a version into force
//! (`APPLY_TIME`). Not included: sockets, headers below the frames, the group's log. There are six zones in two
//! regions; each has one config server, and each node is in one of them.

mod events;
mod links;
mod rows;
mod scenario;

pub use rows::rows;
pub use scenario::{simulate, FleetSpec, Measurements, Outage};

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

/// Number of config servers.
pub const CONFIG_SERVERS: usize = 6;
/// A prime larger than the lists of a hollow fleet, used as a stride so that successive changes affect distant entries.
const STRIDE: usize = 7919;

/// A node that subscribes to the configuration.
struct Node {
    subscriber: Subscriber,
    attachment: AttachmentPolicy,
    /// Index of its current link.
    link: Option<usize>,
    is_attached: bool,
    /// Newest version that it has confirmed.
    confirmed: u64,
    /// Bytes of all frames sent and received.
    bytes: u64,
}

/// All config servers and nodes of a fleet.
struct HollowFleet {
    now: Duration,
    /// Number of events scheduled so far.
    scheduled: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// None while a config server is down.
    servers: Vec<Option<Publisher>>,
    nodes: Vec<Node>,
    /// All links that have ever been opened.
    links: Vec<Link>,
    /// Times of each config server's recent attachments.
    attachments: Vec<VecDeque<Duration>>,
    configuration: Configuration,
    state: ConfigState,
    /// All changes; the first one creates version 1.
    log: Vec<Delta>,
    /// Commit time of each change.
    committed_at: Vec<Duration>,
    /// Snapshot of version 1.
    first_snapshot: Bytes,
    is_partitioned: bool,
    /// When the partition between the regions ended.
    healed_at: Option<Duration>,
    outage: Outage,
    measurements: Measurements,
}

/// Identity of a config server or node, by its index.
fn identity(role: &str, number: usize) -> NodeIdentity {
    NodeIdentity {
        name: format!("{role}-{number}"),
        region: format!("region-{}", number % 2),
        zone: format!("zone-{}", number % CONFIG_SERVERS),
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
            servers: Vec::new(),
            nodes: Vec::new(),
            links: Vec::new(),
            attachments: vec![VecDeque::new(); CONFIG_SERVERS],
            configuration: configuration.clone(),
            state: ConfigState::default(),
            log: Vec::new(),
            committed_at: Vec::new(),
            first_snapshot: Bytes::new(),
            is_partitioned: false,
            healed_at: None,
            outage: spec.outage,
            measurements: Measurements::default(),
        };
        fleet.publish()?;
        let first = snapshot::encode(1, &fleet.state).map_err(to_io_error)?;
        fleet.first_snapshot = Bytes::from(first);
        for server in 0..CONFIG_SERVERS {
            let publisher = fleet.restored_publisher(server as u64)?;
            fleet.servers.push(Some(publisher));
            fleet.schedule(Duration::ZERO, Event::Tick(server));
        }
        for node in 0..spec.nodes {
            fleet.add_node(node);
        }
        Ok(fleet)
    }

    /// A publisher restored from the snapshot of version 1.
    fn restored_publisher(&self, seed: u64) -> io::Result<Publisher> {
        let mut publisher = Publisher::new(self.now, PublisherLimits::default(), seed);
        publisher
            .restore(self.now, self.first_snapshot.clone())
            .map_err(to_io_error)?;
        Ok(publisher)
    }

    fn add_node(&mut self, number: usize) {
        let servers: Vec<NodeIdentity> = (0..CONFIG_SERVERS)
            .map(|k| identity("control", k))
            .collect();
        let own = identity("node", number);
        let attachment = AttachmentPolicy::new(self.now, &own, &servers, number as u64);
        // Starts with version 1, as if loaded from disk: the snapshot for a start without a version has its own row.
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

    /// Publishes one change: a tenant's share, or in every fourth version a member's weight.
    fn publish(&mut self) -> io::Result<()> {
        let version = self.log.len() as u64 + 1;
        let position = version as usize * STRIDE;
        let tenants = self.configuration.tenants.len().max(1);
        let pools = self.configuration.pools.len().max(1);
        let pool = self.configuration.pools.get_mut(position % pools);
        if let Some(pool) = pool.filter(|_| version.is_multiple_of(4)) {
            if let Some(member) = pool.members.first_mut() {
                member.weight = 1_000_000 + version;
            }
        } else if let Some(tenant) = self.configuration.tenants.get_mut(position % tenants) {
            tenant.share = 1 + version;
        }
        let delta = self
            .state
            .delta_to(version - 1, version, &self.configuration)
            .map_err(to_io_error)?;
        self.state.apply(&delta).map_err(to_io_error)?;
        self.log.push(delta);
        self.committed_at.push(self.now);
        Ok(())
    }

    /// Calls a config server's publisher and applies the effects; the call's processor time is counted.
    fn call_server(&mut self, server: usize, call: impl FnOnce(&mut Publisher, Duration)) {
        let now = self.now;
        if let Some(publisher) = &mut self.servers[server] {
            let before = own_cpu();
            call(publisher, now);
            self.measurements.servers_cpu += own_cpu().saturating_sub(before);
        }
        self.apply_publisher_effects(server);
    }

    /// Calls a node's subscriber and applies the effects; the call's processor time is counted.
    fn call_node(&mut self, node: usize, call: impl FnOnce(&mut Subscriber, Duration)) {
        let before = own_cpu();
        call(&mut self.nodes[node].subscriber, self.now);
        self.measurements.nodes_cpu += own_cpu().saturating_sub(before);
        self.apply_subscriber_effects(node);
    }

    /// Number of snapshots sent by the running config servers.
    fn snapshots(&self) -> u64 {
        let servers = self.servers.iter().flatten();
        servers
            .map(|publisher| publisher.counters().snapshots)
            .sum()
    }

    /// Number of attachments rejected by the running config servers.
    fn rejected_attachments(&self) -> u64 {
        let servers = self.servers.iter().flatten();
        servers
            .map(|publisher| publisher.counters().rejected_attachments)
            .sum()
    }
}
