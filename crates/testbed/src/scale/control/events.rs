//! Events of the virtual clock, and what each of them does.

use super::links::{delay_between, Link, Toward, FAR_DELAY, FRAME_HEAD_BYTES};
use super::scenario::Outage;
use super::{to_io_error, HollowFleet, MACHINES};
use bytes::Bytes;
use rainstand_config_distribution::subscriber::Subscriber;
use std::cmp::Reverse;
use std::io;
use std::time::Duration;

/// For a process to put a change into force.
pub(super) const APPLY_TIME: Duration = Duration::from_millis(50);
/// For a process to give up on a machine that does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two ticks of a machine, and two looks of a process for its machine.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Seeds of machines that were started again are past those of the first ones.
const RESTARTED_SEED: u64 = 100;

/// What happens, with the numbers of whom it happens to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A change is committed.
    Commit,
    /// A machine hears of all changes up to this number of them.
    Committed(usize, usize),
    /// A machine's clock ticks.
    Tick(usize),
    /// A process dials.
    Dial(usize),
    /// A process's connection to a machine is open.
    Connected(usize, usize),
    /// A process's connection could not be opened.
    ConnectFailed(usize),
    /// A frame of this link reaches the process.
    ArriveAtNode(usize, Bytes),
    /// A frame of this link reaches the machine.
    ArriveAtMachine(usize, Bytes),
    /// The machine's end of this link is closed.
    LinkEnded(usize),
    /// A process looks whether its machine is still there.
    CheckServer(usize),
    /// A process has put this version into force.
    Applied(usize, u64),
    /// Machines are killed.
    Kill,
    /// All machines come back.
    Restart,
    /// The regions reach each other again.
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
            Event::Committed(machine, up_to) => self.on_committed(machine, up_to)?,
            Event::Tick(machine) => self.tick(machine),
            Event::Dial(node) => self.dial(node),
            Event::Connected(node, machine) => self.on_connected(node, machine),
            Event::ConnectFailed(node) => self.on_link_lost(node),
            Event::ArriveAtNode(link, frame) => self.on_frame_at_node(link, frame),
            Event::ArriveAtMachine(link, frame) => self.on_frame_at_machine(link, frame),
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
        for machine in 0..MACHINES {
            if self.hears_commits(machine) {
                let wait = delay_between(0, machine);
                self.schedule(wait, Event::Committed(machine, changes));
            }
        }
        Ok(())
    }

    fn on_committed(&mut self, machine: usize, up_to: usize) -> io::Result<()> {
        let publisher = self.machines[machine].as_ref();
        let known = publisher.map_or(0, |publisher| publisher.version() as usize);
        for delta in self.log.get(known..up_to).unwrap_or_default().to_vec() {
            let mut applied = Ok(());
            self.call_machine(machine, |publisher, now| {
                applied = publisher.apply_committed(now, delta);
            });
            applied.map_err(to_io_error)?;
        }
        Ok(())
    }

    fn tick(&mut self, machine: usize) {
        let is_current = self.hears_commits(machine);
        self.call_machine(machine, |publisher, now| {
            if is_current {
                publisher.mark_current(now);
            }
            publisher.tick(now);
        });
        self.schedule(TICK_INTERVAL, Event::Tick(machine));
    }

    fn dial(&mut self, node: usize) {
        let Some(machine) = self.nodes[node].attachment.next_server(self.now) else {
            return;
        };
        self.close(node);
        if self.are_parted(node, machine) {
            self.schedule(CONNECT_TIMEOUT, Event::ConnectFailed(node));
        } else {
            let round_trip = delay_between(node, machine) * 2;
            self.schedule(round_trip, Event::Connected(node, machine));
        }
    }

    fn on_connected(&mut self, node: usize, machine: usize) {
        if self.machines[machine].is_none() || self.are_parted(node, machine) {
            return self.on_link_lost(node);
        }
        self.links.push(Link::new(node, machine, self.now));
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

    fn on_frame_at_machine(&mut self, link: usize, frame: Bytes) {
        if self.links[link].is_open {
            self.call_machine(self.links[link].machine, |publisher, now| {
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

    /// Notes how long each version took until it was confirmed.
    fn on_applied(&mut self, node: usize, version: u64) {
        self.call_node(node, |subscriber, _| subscriber.on_applied(version));
        let version = self.nodes[node].subscriber.version();
        // The confirmation is as long under way as the change was.
        let link = self.nodes[node].link;
        let way = link.map_or(Duration::ZERO, |link| {
            delay_between(node, self.links[link].machine)
        });
        for confirmed in self.nodes[node].confirmed + 1..=version {
            let committed = self.committed[confirmed as usize - 1];
            // A parted region is measured from its return.
            let healed = self.healed.filter(|_| node % 2 == 1);
            let from = healed.map_or(committed, |healed| healed.max(committed));
            let took = (self.now + way).saturating_sub(from);
            self.measurements.confirmed.push(took.as_secs_f32());
        }
        self.nodes[node].confirmed = version;
    }

    fn kill(&mut self) {
        let killed = if self.outage == Outage::OneKilled {
            0..1
        } else {
            0..MACHINES
        };
        for machine in killed {
            if let Some(publisher) = self.machines[machine].take() {
                let rejected = publisher.counters().rejected_attachments;
                self.measurements.rejected_attachments += rejected;
            }
            for link in 0..self.links.len() {
                if self.links[link].machine == machine && self.links[link].is_open {
                    let wait = self.transit_time(link, Toward::Node);
                    self.schedule(wait, Event::LinkEnded(link));
                }
            }
        }
    }

    /// From the snapshot on each machine's disk, and the log behind it, which is its history again.
    fn restart(&mut self) -> io::Result<()> {
        for machine in 0..MACHINES {
            let mut publisher = self.restored_publisher(RESTARTED_SEED + machine as u64)?;
            for delta in self.log.iter().skip(1) {
                publisher
                    .apply_committed(self.now, delta.clone())
                    .map_err(to_io_error)?;
            }
            self.machines[machine] = Some(publisher);
        }
        Ok(())
    }

    fn heal(&mut self) {
        self.is_partitioned = false;
        self.healed = Some(self.now);
        for machine in 0..MACHINES {
            self.schedule(FAR_DELAY, Event::Committed(machine, self.log.len()));
        }
    }
}
