//! Events of the virtual clock, and what each of them does.

use super::links::{Link, FAR, HEAD};
use super::scenario::Trouble;
use super::{refused, World, MACHINES};
use bytes::Bytes;
use rainstand_config_distribution::publisher::{Publisher, PublisherLimits};
use std::cmp::Reverse;
use std::io;
use std::time::Duration;

/// A process takes so long to put a change into force.
pub(super) const TAKES: Duration = Duration::from_millis(50);

/// A dial that nobody answers.
const DIALS: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Commit,
    Feed(usize, usize),
    Tick(usize),
    Dial(usize),
    Opened(usize, usize),
    Failed(usize),
    Down(usize, Bytes),
    Up(usize, Bytes),
    Ended(usize),
    Look(usize),
    Taken(usize, u64),
    Kill,
    Restart,
    Heal,
}

impl World {
    pub(super) fn after(&mut self, wait: Duration, what: Event) {
        self.seq += 1;
        self.due.push(Reverse((self.now + wait, self.seq, what)));
    }

    fn step(&mut self, what: Event) -> io::Result<()> {
        match what {
            Event::Commit => {
                self.publish()?;
                for k in (0..MACHINES)
                    .filter(|k| self.in_touch(*k))
                    .collect::<Vec<_>>()
                {
                    self.after(Self::way(0, k), Event::Feed(k, self.log.len()));
                }
            }
            Event::Feed(k, upto) => {
                let at = self.machines[k]
                    .as_ref()
                    .map_or(0, |source| source.version() as usize);
                for delta in self.log.get(at..upto).unwrap_or_default().to_vec() {
                    let mut came = Ok(());
                    self.source(k, |source, now| came = source.apply_committed(now, delta));
                    came.map_err(refused)?;
                }
            }
            Event::Tick(k) => {
                let in_touch = self.in_touch(k);
                self.source(k, |source, now| {
                    if in_touch {
                        source.mark_current(now);
                    }
                    source.tick(now);
                });
                self.after(Duration::from_millis(500), Event::Tick(k));
            }
            Event::Dial(k) => {
                let Some(machine) = self.nodes[k].chooser.next_server(self.now) else {
                    return Ok(());
                };
                self.close(k);
                if self.apart(k, machine) {
                    self.after(DIALS, Event::Failed(k));
                } else {
                    self.after(Self::way(k, machine) * 2, Event::Opened(k, machine));
                }
            }
            Event::Failed(k) => self.lost(k),
            Event::Opened(k, machine) => {
                if self.machines[machine].is_none() || self.apart(k, machine) {
                    self.lost(k);
                    return Ok(());
                }
                self.links.push(Link {
                    node: k,
                    machine,
                    open: true,
                    last: [self.now; 2],
                });
                self.nodes[k].link = Some(self.links.len() - 1);
                self.subscriber(k, |subscriber, now| subscriber.on_connected(now));
            }
            Event::Down(link, frame) => {
                let k = self.links[link].node;
                if self.nodes[k].link != Some(link) {
                    return Ok(());
                }
                self.nodes[k].bytes += frame.len() as u64 + HEAD;
                self.subscriber(k, |subscriber, now| subscriber.on_frame(now, frame));
                if self.nodes[k].subscriber.is_attached() && !self.nodes[k].attached {
                    self.nodes[k].attached = true;
                    self.nodes[k].chooser.on_attached(self.now);
                    self.dial_when_due(k);
                }
            }
            Event::Up(link, frame) => {
                if self.links[link].open {
                    self.source(self.links[link].machine, |source, now| {
                        source.on_frame(now, link as u64, frame)
                    });
                }
            }
            Event::Ended(link) => {
                let k = self.links[link].node;
                if self.nodes[k].link == Some(link) {
                    self.lost(k);
                }
            }
            Event::Look(k) => {
                if self.nodes[k].subscriber.is_server_lost(self.now) {
                    self.lost(k);
                }
                self.after(Duration::from_millis(500), Event::Look(k));
            }
            Event::Taken(k, version) => {
                self.subscriber(k, |subscriber, _| subscriber.on_applied(version));
                self.confirmed(k);
            }
            Event::Kill => {
                let gone = if self.trouble == Trouble::OneKilled {
                    0..1
                } else {
                    0..MACHINES
                };
                for machine in gone {
                    if let Some(source) = self.machines[machine].take() {
                        self.seen.turned_away += source.counters().rejected_attachments;
                    }
                    for link in 0..self.links.len() {
                        if self.links[link].machine == machine && self.links[link].open {
                            let wait = self.under_way(link, 0);
                            self.after(wait, Event::Ended(link));
                        }
                    }
                }
            }
            Event::Restart => {
                // From the snapshot on its disk, and the log behind it, which is its history again.
                for k in 0..MACHINES {
                    let mut source =
                        Publisher::new(self.now, PublisherLimits::default(), 100 + k as u64);
                    source
                        .restore(self.now, self.first.clone())
                        .map_err(refused)?;
                    for delta in self.log.iter().skip(1) {
                        source
                            .apply_committed(self.now, delta.clone())
                            .map_err(refused)?;
                    }
                    self.machines[k] = Some(source);
                }
            }
            Event::Heal => {
                (self.parted, self.healed) = (false, Some(self.now));
                for k in 0..MACHINES {
                    self.after(FAR, Event::Feed(k, self.log.len()));
                }
            }
        }
        Ok(())
    }

    pub(super) fn run_to(&mut self, end: Duration) -> io::Result<()> {
        while self.due.peek().is_some_and(|due| due.0 .0 <= end) {
            if let Some(Reverse((at, _, what))) = self.due.pop() {
                self.now = at;
                self.step(what)?;
            }
        }
        self.now = end;
        Ok(())
    }
}
