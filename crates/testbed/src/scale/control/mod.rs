//! A configuration on its way to the whole fleet: hollow subscribers and control machines, the code that
//! decides and the frames that it sends, on a virtual clock, without sockets. Times and bytes are the same on
//! every run.
//!
//! Assumed, and so no figure from here: how long a frame is under way ([`NEAR`], [`FAR`]), how long a change
//! takes to be known to a machine once it is committed (the same, once), how long a process takes to put a
//! version into force ([`TAKES`]). Left out: sockets, headers below the frames, the group's log. Each machine
//! is one of six places in two regions, each process in one of the six.

mod events;
mod links;
mod rows;
mod scenario;

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
pub use rows::rows;
pub use scenario::{watch, Seen, Spec, Trouble};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io;
use std::time::Duration;

/// Set aside for control.
pub const MACHINES: usize = 6;

struct Node {
    subscriber: Subscriber,
    chooser: AttachmentPolicy,
    link: Option<usize>,
    attached: bool,
    /// The newest version that it confirmed.
    confirmed: u64,
    bytes: u64,
}

struct World {
    now: Duration,
    seq: u64,
    due: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    machines: Vec<Option<Publisher>>,
    nodes: Vec<Node>,
    links: Vec<Link>,
    /// Machines of which each link's number goes to.
    attached: Vec<VecDeque<Duration>>,
    configuration: Configuration,
    state: ConfigState,
    log: Vec<Delta>,
    /// The first version, packed.
    first: Bytes,
    committed: Vec<Duration>,
    parted: bool,
    healed: Option<Duration>,
    trouble: Trouble,
    seen: Seen,
}

fn who(name: &str, k: usize) -> NodeIdentity {
    NodeIdentity {
        name: format!("{name}-{k}"),
        region: format!("region-{}", k % 2),
        zone: format!("zone-{}", k % MACHINES),
    }
}

fn refused(why: UpdateError) -> io::Error {
    io::Error::other(why.to_string())
}

impl World {
    fn new(spec: &Spec, configuration: Configuration) -> io::Result<Self> {
        let machines: Vec<NodeIdentity> = (0..MACHINES).map(|k| who("control", k)).collect();
        let mut world = Self {
            now: Duration::ZERO,
            seq: 0,
            due: BinaryHeap::new(),
            machines: Vec::new(),
            nodes: Vec::new(),
            links: Vec::new(),
            attached: vec![VecDeque::new(); MACHINES],
            configuration,
            state: ConfigState::default(),
            log: Vec::new(),
            first: Bytes::new(),
            committed: Vec::new(),
            parted: false,
            healed: None,
            trouble: spec.trouble,
            seen: Seen::default(),
        };
        world.publish()?;
        world.first = Bytes::from(snapshot::encode(1, &world.state).map_err(refused)?);
        for k in 0..MACHINES {
            let mut source = Publisher::new(world.now, PublisherLimits::default(), k as u64);
            source
                .restore(world.now, world.first.clone())
                .map_err(refused)?;
            world.machines.push(Some(source));
            world.after(Duration::ZERO, Event::Tick(k));
        }
        for k in 0..spec.nodes {
            let place = who("node", k);
            let chooser = AttachmentPolicy::new(world.now, &place, &machines, k as u64);
            // As from its disk: what is sent at a start with nothing in hand has a row of its own.
            let subscriber = Subscriber::with_version(world.now, place, 1, world.state.clone());
            world.nodes.push(Node {
                subscriber,
                chooser,
                link: None,
                attached: false,
                confirmed: 1,
                bytes: 0,
            });
            world.dial_when_due(k);
            world.after(Duration::ZERO, Event::Look(k));
        }
        Ok(world)
    }

    /// One change: a tenant's share, now and then a member's weight.
    fn publish(&mut self) -> io::Result<()> {
        let to = self.log.len() as u64 + 1;
        let at = to as usize * 7919;
        let tenants = self.configuration.tenants.len().max(1);
        let pools = self.configuration.pools.len().max(1);
        match self
            .configuration
            .pools
            .get_mut(at % pools)
            .filter(|_| to.is_multiple_of(4))
        {
            Some(pool) => pool
                .members
                .iter_mut()
                .take(1)
                .for_each(|member| member.weight = 1_000_000 + to),
            None => {
                if let Some(tenant) = self.configuration.tenants.get_mut(at % tenants) {
                    tenant.share = 1 + to;
                }
            }
        }
        let delta = self
            .state
            .delta_to(to - 1, to, &self.configuration)
            .map_err(refused)?;
        self.state.apply(&delta).map_err(refused)?;
        self.log.push(delta);
        self.committed.push(self.now);
        Ok(())
    }

    /// What this source does, its processor time counted.
    fn source(&mut self, k: usize, does: impl FnOnce(&mut Publisher, Duration)) {
        let now = self.now;
        if let Some(source) = &mut self.machines[k] {
            let before = own_cpu();
            does(source, now);
            self.seen.machines_cpu += own_cpu().saturating_sub(before);
        }
        self.obey_source(k);
    }

    fn subscriber(&mut self, k: usize, does: impl FnOnce(&mut Subscriber, Duration)) {
        let before = own_cpu();
        does(&mut self.nodes[k].subscriber, self.now);
        self.seen.nodes_cpu += own_cpu().saturating_sub(before);
        self.obey_subscriber(k);
    }

    fn confirmed(&mut self, k: usize) {
        let node = &mut self.nodes[k];
        let version = node.subscriber.version();
        // The answer is as long under way as the change was.
        let way = node.link.map_or(Duration::ZERO, |link| {
            Self::way(k, self.links[link].machine)
        });
        for passed in node.confirmed + 1..=version {
            let from = self.committed[passed as usize - 1];
            let from = self
                .healed
                .filter(|_| k % 2 == 1)
                .map_or(from, |healed| healed.max(from));
            self.seen
                .confirmed
                .push((self.now + way - from).as_secs_f32());
        }
        node.confirmed = version;
    }
}
