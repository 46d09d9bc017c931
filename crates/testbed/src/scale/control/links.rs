//! Links between processes and control machines: dialled, closed, parted, with frames under way.

use super::events::{Event, APPLY_TIME};
use super::HollowFleet;
use rainstand_config_distribution::{publisher, subscriber};
use std::time::Duration;

/// Before a frame: its length, and which kind of frame of the group's links it is.
pub(super) const FRAME_HEAD_BYTES: u64 = 8;
/// A frame on its way within a region, and between regions.
const NEAR_DELAY: Duration = Duration::from_millis(1);
pub(super) const FAR_DELAY: Duration = Duration::from_millis(40);
/// Attachments are counted by this window.
const ATTACHMENT_WINDOW: Duration = Duration::from_secs(1);

/// A connection of a process to a machine.
pub(super) struct Link {
    pub(super) node: usize,
    pub(super) machine: usize,
    /// The machine takes it for open.
    pub(super) is_open: bool,
    /// When the last frame arrives that was sent to the process, and to the machine: frames stay in their order.
    last_arrival: LastArrival,
}

#[derive(Clone, Copy)]
struct LastArrival {
    at_node: Duration,
    at_machine: Duration,
}

/// The end that a frame is on its way to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Toward {
    Node,
    Machine,
}

impl Link {
    pub(super) fn new(node: usize, machine: usize, now: Duration) -> Self {
        Self {
            node,
            machine,
            is_open: true,
            last_arrival: LastArrival {
                at_node: now,
                at_machine: now,
            },
        }
    }
}

/// How long a frame is under way between two numbers, whose regions are odd and even.
pub(super) fn delay_between(a: usize, b: usize) -> Duration {
    if a % 2 == b % 2 {
        NEAR_DELAY
    } else {
        FAR_DELAY
    }
}

impl HollowFleet {
    /// Whether the regions of a process and a machine do not reach each other.
    pub(super) fn are_parted(&self, node: usize, machine: usize) -> bool {
        self.is_partitioned && node % 2 != machine % 2
    }

    /// Whether a machine hears of what is committed.
    pub(super) fn hears_commits(&self, machine: usize) -> bool {
        !(self.is_partitioned && machine % 2 == 1)
    }

    pub(super) fn dial_when_due(&mut self, node: usize) {
        if let Some(due) = self.nodes[node].attachment.next_deadline() {
            self.schedule(due.saturating_sub(self.now), Event::Dial(node));
        }
    }

    /// The process closes its link; its machine hears of it if it is reached.
    pub(super) fn close(&mut self, node: usize) {
        let Some(link) = self.nodes[node].link.take() else {
            return;
        };
        self.nodes[node].subscriber.on_link_closed();
        self.nodes[node].is_attached = false;
        let machine = self.links[link].machine;
        let was_open = std::mem::replace(&mut self.links[link].is_open, false);
        if !was_open || self.are_parted(node, machine) {
            return;
        }
        if let Some(publisher) = &mut self.machines[machine] {
            publisher.on_disconnected(link as u64);
        }
        self.apply_publisher_effects(machine);
    }

    pub(super) fn on_link_lost(&mut self, node: usize) {
        self.close(node);
        self.nodes[node].attachment.on_disconnected(self.now);
        self.dial_when_due(node);
    }

    /// How long a frame that is sent now is under way: none overtakes another.
    pub(super) fn transit_time(&mut self, link: usize, toward: Toward) -> Duration {
        let now = self.now;
        let link = &mut self.links[link];
        let delay = delay_between(link.node, link.machine);
        let last = match toward {
            Toward::Node => &mut link.last_arrival.at_node,
            Toward::Machine => &mut link.last_arrival.at_machine,
        };
        *last = (now + delay).max(*last);
        last.saturating_sub(now)
    }

    pub(super) fn apply_publisher_effects(&mut self, machine: usize) {
        let Some(publisher) = &mut self.machines[machine] else {
            return;
        };
        for effect in publisher.take_effects().collect::<Vec<_>>() {
            match effect {
                publisher::Effect::Send { link, frame } => {
                    let link = link as usize;
                    let wait = self.transit_time(link, Toward::Node);
                    if !self.are_parted(self.links[link].node, machine) {
                        self.schedule(wait, Event::ArriveAtNode(link, frame));
                    }
                }
                publisher::Effect::Close(link) => {
                    let link = link as usize;
                    let wait = self.transit_time(link, Toward::Node);
                    self.schedule(wait, Event::LinkEnded(link));
                }
                publisher::Effect::Event(publisher::Event::Attached { .. }) => {
                    self.count_attachment(machine);
                }
                publisher::Effect::Event(_) => {}
            }
        }
    }

    fn count_attachment(&mut self, machine: usize) {
        let now = self.now;
        let attachments = &mut self.attachments[machine];
        attachments.retain(|at| now.saturating_sub(*at) < ATTACHMENT_WINDOW);
        attachments.push_back(now);
        let most = self.measurements.most_attached.max(attachments.len());
        self.measurements.most_attached = most;
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
                    let wait = self.transit_time(link, Toward::Machine);
                    if !self.are_parted(node, self.links[link].machine) {
                        self.schedule(wait, Event::ArriveAtMachine(link, frame));
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
                subscriber::Effect::Event(_) => {}
            }
        }
    }
}
