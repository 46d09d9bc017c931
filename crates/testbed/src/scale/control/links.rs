//! Links between processes and control machines: dialled, closed, parted, with frames under way.

use super::events::{Event, TAKES};
use super::World;
use rainstand_config_distribution::publisher;
use rainstand_config_distribution::subscriber::Effect;
use std::time::Duration;

/// A frame on its way within a region, and between regions.
const NEAR: Duration = Duration::from_millis(1);

pub(super) const FAR: Duration = Duration::from_millis(40);

/// Before a frame: its length, and which kind of frame of the group's links it is.
pub(super) const HEAD: u64 = 8;

pub(super) struct Link {
    pub(super) node: usize,
    pub(super) machine: usize,
    pub(super) open: bool,
    /// What was sent is under way in order.
    pub(super) last: [Duration; 2],
}

impl World {
    pub(super) fn way(a: usize, b: usize) -> Duration {
        if a % 2 == b % 2 {
            NEAR
        } else {
            FAR
        }
    }

    pub(super) fn apart(&self, node: usize, machine: usize) -> bool {
        self.parted && node % 2 != machine % 2
    }

    pub(super) fn in_touch(&self, machine: usize) -> bool {
        !(self.parted && machine % 2 == 1)
    }

    pub(super) fn dial_when_due(&mut self, k: usize) {
        if let Some(due) = self.nodes[k].chooser.next_deadline() {
            self.after(due.saturating_sub(self.now), Event::Dial(k));
        }
    }

    pub(super) fn close(&mut self, k: usize) {
        let Some(link) = self.nodes[k].link.take() else {
            return;
        };
        self.nodes[k].subscriber.on_link_closed();
        self.nodes[k].attached = false;
        let machine = self.links[link].machine;
        if !std::mem::replace(&mut self.links[link].open, false) || self.apart(k, machine) {
            return;
        }
        if let Some(source) = &mut self.machines[machine] {
            source.on_disconnected(link as u64);
        }
        self.obey_source(machine);
    }

    pub(super) fn lost(&mut self, k: usize) {
        self.close(k);
        self.nodes[k].chooser.on_disconnected(self.now);
        self.dial_when_due(k);
    }

    pub(super) fn obey_source(&mut self, k: usize) {
        let Some(source) = &mut self.machines[k] else {
            return;
        };
        for order in source.take_effects().collect::<Vec<_>>() {
            match order {
                publisher::Effect::Send { link, frame } => {
                    let number = link as usize;
                    let node = self.links[number].node;
                    let wait = self.under_way(number, 0);
                    if !self.apart(node, k) {
                        self.after(wait, Event::Down(number, frame));
                    }
                }
                publisher::Effect::Close(link) => {
                    let wait = self.under_way(link as usize, 0);
                    self.after(wait, Event::Ended(link as usize));
                }
                publisher::Effect::Event(publisher::Event::Attached { .. }) => {
                    let now = self.now;
                    let came = &mut self.attached[k];
                    came.retain(|at| now - *at < Duration::from_secs(1));
                    came.push_back(now);
                    self.seen.most_attached = self.seen.most_attached.max(came.len());
                }
                publisher::Effect::Event(_) => {}
            }
        }
    }

    pub(super) fn under_way(&mut self, link: usize, side: usize) -> Duration {
        let way = Self::way(self.links[link].node, self.links[link].machine);
        let at = (self.now + way).max(self.links[link].last[side]);
        self.links[link].last[side] = at;
        at - self.now
    }

    pub(super) fn obey_subscriber(&mut self, k: usize) {
        for order in self.nodes[k].subscriber.take_effects().collect::<Vec<_>>() {
            match order {
                Effect::Send(frame) => {
                    self.nodes[k].bytes += frame.len() as u64 + HEAD;
                    let Some(link) = self.nodes[k].link else {
                        continue;
                    };
                    let wait = self.under_way(link, 1);
                    if !self.apart(k, self.links[link].machine) {
                        self.after(wait, Event::Up(link, frame));
                    }
                }
                Effect::Apply(version) => self.after(TAKES, Event::Taken(k, version)),
                Effect::RetryAfter { after, target } => {
                    self.close(k);
                    self.nodes[k]
                        .chooser
                        .on_retry_after(self.now, after, target);
                    self.dial_when_due(k);
                }
                Effect::Close => self.lost(k),
                Effect::Event(_) => {}
            }
        }
    }
}
