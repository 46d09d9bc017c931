//! Events of the virtual clock and their handlers.

use super::links::{delay_between, Destination, Link, FAR_DELAY, FRAME_HEAD_BYTES};
use super::scenario::Outage;
use super::{to_io_error, HollowFleet, CONFIG_SERVERS};
use bytes::Bytes;
use rainstand_config_distribution::subscriber::Subscriber;
use std::cmp::Reverse;
use std::io;
use std::time::Duration;

/// Time that a node takes to put a change into force.
pub(super) const APPLY_TIME: Duration = Duration::from_millis(50);
/// Timeout of a node's connection attempt to a config server that does not respond.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between ticks of a config server, and between a node's checks of its config server.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Offset of the seeds of restarted config servers, so that they differ from the initial seeds.
const RESTARTED_SEED_OFFSET: u64 = 100;

/// An event, with the indices of the nodes, config servers or links that it concerns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A change is committed.
    Commit,
    /// A config server receives all changes up to this number of changes.
    Committed(usize, usize),
    /// A config server ticks.
    Tick(usize),
    /// A node starts to connect.
    Dial(usize),
    /// A node's connection attempt to a config server completes.
    Connected(usize, usize),
    /// A node's connection attempt failed.
    ConnectFailed(usize),
    /// A frame on this link reaches the node.
    ArriveAtNode(usize, Bytes),
    /// A frame on this link reaches the config server.
    ArriveAtServer(usize, Bytes),
    /// The node learns that the config server's end of this link is closed.
    LinkEnded(usize),
    /// A node checks whether it has lost its config server.
    CheckServer(usize),
    /// A node has put this version into force.
    Applied(usize, u64),
    /// Config servers are killed.
    Kill,
    /// All config servers restart.
    Restart,
    /// The partition between the regions ends.
    Heal,
}

impl HollowFleet {
    pub(super) fn schedule(&mut self, wait: Duration, event: Event) {
        self.scheduled += 1;
        let at = self.now + wait;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    /// Handles all events up to this time.
    pub(super) fn run_to(&mut self, end: Duration) -> io::Result<()> {
        while self.events.peek().is_some_and(|next| next.0 .0 <= end) {
            if let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = at;
                self.handle(event)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn handle(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Commit => self.commit()?,
            Event::Committed(server, up_to) => self.on_committed(server, up_to)?,
            Event::Tick(server) => self.tick(server),
            Event::Dial(node) => self.dial(node),
            Event::Connected(node, server) => self.on_connected(node, server),
            Event::ConnectFailed(node) => self.on_link_lost(node),
            Event::ArriveAtNode(link, frame) => self.on_frame_at_node(link, frame),
            Event::ArriveAtServer(link, frame) => self.on_frame_at_server(link, frame),
            Event::LinkEnded(link) => {
                let node = self.links[link].node;
                if self.nodes[node].link == Some(link) {
                    self.on_link_lost(node);
                }
            }
            Event::CheckServer(node) => self.check_server(node),
            Event::Applied(node, version) => self.on_applied(node, version),
            Event::Kill => self.kill(),
            Event::Restart => self.restart()?,
            Event::Heal => self.heal(),
        }
        Ok(())
    }

    fn commit(&mut self) -> io::Result<()> {
        self.publish()?;
        let changes = self.log.len();
        for server in 0..CONFIG_SERVERS {
            if self.receives_commits(server) {
                let wait = delay_between(0, server);
                self.schedule(wait, Event::Committed(server, changes));
            }
        }
        Ok(())
    }

    fn on_committed(&mut self, server: usize, up_to: usize) -> io::Result<()> {
        let publisher = self.servers[server].as_ref();
        let known = publisher.map_or(0, |publisher| publisher.version() as usize);
        for delta in self.log.get(known..up_to).unwrap_or_default().to_vec() {
            let mut applied = Ok(());
            self.call_server(server, |publisher, now| {
                applied = publisher.apply_committed(now, delta);
            });
            applied.map_err(to_io_error)?;
        }
        Ok(())
    }

    fn tick(&mut self, server: usize) {
        let is_current = self.receives_commits(server);
        self.call_server(server, |publisher, now| {
            if is_current {
                publisher.mark_current(now);
            }
            publisher.tick(now);
        });
        self.schedule(TICK_INTERVAL, Event::Tick(server));
    }

    fn dial(&mut self, node: usize) {
        let Some(server) = self.nodes[node].attachment.next_server(self.now) else {
            return;
        };
        self.close(node);
        if self.are_partitioned(node, server) {
            self.schedule(CONNECT_TIMEOUT, Event::ConnectFailed(node));
        } else {
            let round_trip = delay_between(node, server) * 2;
            self.schedule(round_trip, Event::Connected(node, server));
        }
    }

    fn on_connected(&mut self, node: usize, server: usize) {
        if self.servers[server].is_none() || self.are_partitioned(node, server) {
            return self.on_link_lost(node);
        }
        self.links.push(Link::new(node, server, self.now));
        self.nodes[node].link = Some(self.links.len() - 1);
        self.call_node(node, Subscriber::on_connected);
    }

    fn on_frame_at_node(&mut self, link: usize, frame: Bytes) {
        let node = self.links[link].node;
        if self.nodes[node].link != Some(link) {
            return;
        }
        self.nodes[node].bytes += frame.len() as u64 + FRAME_HEAD_BYTES;
        self.call_node(node, |subscriber, now| subscriber.on_frame(now, frame));
        let state = &mut self.nodes[node];
        if state.subscriber.is_attached() && !state.is_attached {
            state.is_attached = true;
            state.attachment.on_attached(self.now);
            self.dial_when_due(node);
        }
    }

    fn on_frame_at_server(&mut self, link: usize, frame: Bytes) {
        if self.links[link].is_open {
            self.call_server(self.links[link].server, |publisher, now| {
                publisher.on_frame(now, link as u64, frame);
            });
        }
    }

    fn check_server(&mut self, node: usize) {
        if self.nodes[node].subscriber.is_server_lost(self.now) {
            self.on_link_lost(node);
        }
        self.schedule(TICK_INTERVAL, Event::CheckServer(node));
    }

    /// Records how long each version took until it was confirmed.
    fn on_applied(&mut self, node: usize, version: u64) {
        self.call_node(node, |subscriber, _| subscriber.on_applied(version));
        let version = self.nodes[node].subscriber.version();
        // The confirmation takes as long to arrive as the change did.
        let link = self.nodes[node].link;
        let delay = link.map_or(Duration::ZERO, |link| {
            delay_between(node, self.links[link].server)
        });
        for confirmed in self.nodes[node].confirmed + 1..=version {
            let committed_at = self.committed_at[confirmed as usize - 1];
            // In a partitioned region, time counts from the end of the partition.
            let healed_at = self.healed_at.filter(|_| node % 2 == 1);
            let from = healed_at.map_or(committed_at, |healed_at| healed_at.max(committed_at));
            let took = (self.now + delay).saturating_sub(from);
            self.measurements.confirmed.push(took.as_secs_f32());
        }
        self.nodes[node].confirmed = version;
    }

    fn kill(&mut self) {
        let killed = if self.outage == Outage::OneKilled {
            0..1
        } else {
            0..CONFIG_SERVERS
        };
        for server in killed {
            if let Some(publisher) = self.servers[server].take() {
                let rejected = publisher.counters().rejected_attachments;
                self.measurements.rejected_attachments += rejected;
            }
            for link in 0..self.links.len() {
                if self.links[link].server == server && self.links[link].is_open {
                    let wait = self.transit_time(link, Destination::Node);
                    self.schedule(wait, Event::LinkEnded(link));
                }
            }
        }
    }

    /// Restarts each config server from its snapshot on disk and the log after it, which restores its history.
    fn restart(&mut self) -> io::Result<()> {
        for server in 0..CONFIG_SERVERS {
            let mut publisher = self.restored_publisher(RESTARTED_SEED_OFFSET + server as u64)?;
            for delta in self.log.iter().skip(1) {
                publisher
                    .apply_committed(self.now, delta.clone())
                    .map_err(to_io_error)?;
            }
            self.servers[server] = Some(publisher);
        }
        Ok(())
    }

    fn heal(&mut self) {
        self.is_partitioned = false;
        self.healed_at = Some(self.now);
        for server in 0..CONFIG_SERVERS {
            self.schedule(FAR_DELAY, Event::Committed(server, self.log.len()));
        }
    }
}
