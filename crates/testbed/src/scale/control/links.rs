//! Links between nodes and config servers: connecting, closing, partitions, and delivery of frames.

use super::events::{Event, APPLY_TIME};
use super::HollowFleet;
use rainstand_config_distribution::{publisher, subscriber};
use std::time::Duration;

/// Size of a frame's header on group links: its length and its kind.
pub(super) const FRAME_HEAD_BYTES: u64 = 8;
/// Delays of a frame within a region, and between regions.
const NEAR_DELAY: Duration = Duration::from_millis(1);
pub(super) const FAR_DELAY: Duration = Duration::from_millis(40);
/// Window over which attachments are counted.
const ATTACHMENT_WINDOW: Duration = Duration::from_secs(1);

/// A connection of a node to a config server.
pub(super) struct Link {
    pub(super) node: usize,
    pub(super) server: usize,
    /// Whether the config server considers it open.
    pub(super) is_open: bool,
    /// Arrival time of the last frame sent in each direction; later frames do not arrive before it.
    last_arrival: LastArrival,
}

#[derive(Clone, Copy)]
struct LastArrival {
    at_node: Duration,
    at_server: Duration,
}

/// The end of a link that a frame is sent to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Destination {
    Node,
    Server,
}

impl Link {
    pub(super) fn new(node: usize, server: usize, now: Duration) -> Self {
        Self {
            node,
            server,
            is_open: true,
            last_arrival: LastArrival {
                at_node: now,
                at_server: now,
            },
        }
    }
}

/// Delay of a frame between two indices; even and odd indices are in different regions.
pub(super) fn delay_between(a: usize, b: usize) -> Duration {
    if a % 2 == b % 2 {
        NEAR_DELAY
    } else {
        FAR_DELAY
    }
}

impl HollowFleet {
    /// Whether a partition separates a node from a config server.
    pub(super) fn are_partitioned(&self, node: usize, server: usize) -> bool {
        self.is_partitioned && node % 2 != server % 2
    }

    /// Whether a config server receives committed changes.
    pub(super) fn receives_commits(&self, server: usize) -> bool {
        !(self.is_partitioned && server % 2 == 1)
    }

    pub(super) fn dial_when_due(&mut self, node: usize) {
        if let Some(due) = self.nodes[node].attachment.next_deadline() {
            self.schedule(due.saturating_sub(self.now), Event::Dial(node));
        }
    }

    /// Closes a node's link; its config server is notified if it is reachable.
    pub(super) fn close(&mut self, node: usize) {
        let Some(link) = self.nodes[node].link.take() else {
            return;
        };
        self.nodes[node].subscriber.on_link_closed();
        self.nodes[node].is_attached = false;
        let server = self.links[link].server;
        let was_open = std::mem::replace(&mut self.links[link].is_open, false);
        if !was_open || self.are_partitioned(node, server) {
            return;
        }
        if let Some(publisher) = &mut self.servers[server] {
            publisher.on_disconnected(link as u64);
        }
        self.apply_publisher_effects(server);
    }

    pub(super) fn on_link_lost(&mut self, node: usize) {
        self.close(node);
        self.nodes[node].attachment.on_disconnected(self.now);
        self.dial_when_due(node);
    }

    /// Delay of a frame that is sent now; frames on a link stay in order.
    pub(super) fn transit_time(&mut self, link: usize, destination: Destination) -> Duration {
        let now = self.now;
        let link = &mut self.links[link];
        let delay = delay_between(link.node, link.server);
        let last = match destination {
            Destination::Node => &mut link.last_arrival.at_node,
            Destination::Server => &mut link.last_arrival.at_server,
        };
        *last = (now + delay).max(*last);
        last.saturating_sub(now)
    }

    pub(super) fn apply_publisher_effects(&mut self, server: usize) {
        let Some(publisher) = &mut self.servers[server] else {
            return;
        };
        for effect in publisher.take_effects().collect::<Vec<_>>() {
            match effect {
                publisher::Effect::Send { link, frame } => {
                    let link = link as usize;
                    let wait = self.transit_time(link, Destination::Node);
                    if !self.are_partitioned(self.links[link].node, server) {
                        self.schedule(wait, Event::ArriveAtNode(link, frame));
                    }
                }
                publisher::Effect::Close(link) => {
                    let link = link as usize;
                    let wait = self.transit_time(link, Destination::Node);
                    self.schedule(wait, Event::LinkEnded(link));
                }
                publisher::Effect::Event(publisher::Event::Attached { .. }) => {
                    self.count_attachment(server);
                }
                publisher::Effect::Event(_) => {}
            }
        }
    }

    fn count_attachment(&mut self, server: usize) {
        let now = self.now;
        let attachments = &mut self.attachments[server];
        attachments.retain(|at| now.saturating_sub(*at) < ATTACHMENT_WINDOW);
        attachments.push_back(now);
        let most = self
            .measurements
            .max_attachments_per_second
            .max(attachments.len());
        self.measurements.max_attachments_per_second = most;
    }

    pub(super) fn apply_subscriber_effects(&mut self, node: usize) {
        let effects: Vec<_> = self.nodes[node].subscriber.take_effects().collect();
        for effect in effects {
            match effect {
                subscriber::Effect::Send(frame) => {
                    self.nodes[node].bytes += frame.len() as u64 + FRAME_HEAD_BYTES;
                    let Some(link) = self.nodes[node].link else {
                        continue;
                    };
                    let wait = self.transit_time(link, Destination::Server);
                    if !self.are_partitioned(node, self.links[link].server) {
                        self.schedule(wait, Event::ArriveAtServer(link, frame));
                    }
                }
                subscriber::Effect::Apply(version) => {
                    self.schedule(APPLY_TIME, Event::Applied(node, version));
                }
                subscriber::Effect::RetryAfter { after, target } => {
                    self.close(node);
                    let attachment = &mut self.nodes[node].attachment;
                    attachment.on_retry_after(self.now, after, target);
                    self.dial_when_due(node);
                }
                subscriber::Effect::Close => self.on_link_lost(node),
                // These subscribers have no storage, so that there is nothing to store.
                subscriber::Effect::Store(_) | subscriber::Effect::Event(_) => {}
            }
        }
    }
}
