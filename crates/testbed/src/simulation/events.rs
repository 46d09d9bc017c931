//! Events of the virtual clock, in the order of their times, and what each of them does.

use super::faults::Ill;
use super::members::Node;
use super::{name, Sim, MS};
use rainstand_replicated_state::frames::Frame;

#[derive(Clone, Debug)]
pub(super) enum EventKind {
    Wake {
        node: usize,
        life: u64,
    },
    Arrive {
        from: usize,
        to: usize,
        life: u64,
        frame: Frame,
    },
    Flushed {
        node: usize,
        life: u64,
        number: u64,
    },
    Ask {
        key: Option<usize>,
    },
    RunEnds {
        node: usize,
        ticket: usize,
    },
    /// The agent's notice reaches its node.
    Notice {
        node: usize,
        ticket: usize,
    },
    Due {
        ticket: usize,
    },
    Fault,
    Heal {
        fault: usize,
    },
    Up {
        node: usize,
    },
    Link {
        from: usize,
        to: usize,
    },
    /// The configuration leaves a node out, or nobody.
    Retire {
        node: Option<usize>,
    },
    /// A node and some leader are parted from all others.
    Apart {
        node: usize,
    },
    /// Killed, and started again at once.
    Bounce {
        node: usize,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Event {
    pub(super) at: u64,
    pub(super) order: u64,
    pub(super) what: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl Sim {
    pub(super) fn later(&mut self, after: u64, what: EventKind) {
        self.order += 1;
        self.events.push(Event {
            at: self.now + after,
            order: self.order,
            what,
        });
    }

    pub(super) fn happen(&mut self, what: EventKind) {
        match what {
            EventKind::Up { node } => self.up(node),
            EventKind::Wake { node, life } if self.lives(node, life) => {
                if self.nodes[node].stopped {
                    self.nodes[node]
                        .waiting
                        .push_back(EventKind::Wake { node, life });
                } else {
                    self.nodes[node].wake = u64::MAX;
                    self.with(node, |member, now| member.tick(now));
                }
            }
            EventKind::Flushed { node, life, number } if self.lives(node, life) => {
                self.flushed(node, number)
            }
            EventKind::Arrive {
                from,
                to,
                life,
                frame,
            } if self.lives(to, life) => {
                if self.nodes[to].stopped {
                    self.nodes[to].waiting.push_back(EventKind::Arrive {
                        from,
                        to,
                        life,
                        frame,
                    });
                } else if self.nodes[from].member.is_some() || self.draw(2) == 0 {
                    self.with(to, |member, now| member.on_frame(now, &name(from), frame));
                }
            }
            EventKind::Wake { .. } | EventKind::Flushed { .. } | EventKind::Arrive { .. } => {}
            EventKind::Ask { key } => self.ask(key),
            EventKind::RunEnds { node, ticket } => self.run_ends(node, ticket),
            EventKind::Notice { node, ticket } => self.notice(node, ticket),
            EventKind::Due { ticket } => self.due(ticket),
            EventKind::Fault => self.fault(),
            EventKind::Heal { fault } => self.heal(fault),
            EventKind::Link { from, to } => self.link(from, to),
            EventKind::Retire { node } => self.retire(node),
            EventKind::Apart { node } => {
                // Without a node named: one that learns just now.
                let learner = || {
                    let members = self.nodes.iter().filter_map(|node| node.member.as_ref());
                    let shards = members
                        .flat_map(|member| member.shards())
                        .filter(|shard| shard.replica.is_leader());
                    let mut all = shards.flat_map(|shard| &shard.replica.membership().members);
                    let id = all.find(|member| !member.is_voter)?.id;
                    let is = |node: &Node| {
                        node.member
                            .as_ref()
                            .is_some_and(|member| member.disk() == id)
                    };
                    self.nodes.iter().position(is)
                };
                let node = if node == usize::MAX {
                    learner()
                } else {
                    Some(node)
                };
                let Some(node) = node else { return };
                let leader = (0..self.world.nodes).find(|k| *k != node && self.leads(*k));
                if let Some(leader) = leader.filter(|_| self.ills.iter().all(Option::is_none)) {
                    let fault = self.ills.len();
                    self.ills.push(Some(Ill::Part {
                        seed: 1 << node | 1 << leader,
                        one_way: false,
                    }));
                    self.later(700 * MS, EventKind::Heal { fault });
                }
            }
            EventKind::Bounce { node } => {
                if self.nodes[node].member.is_some() {
                    self.crash(node);
                    self.later(2 * MS, EventKind::Up { node });
                }
            }
        }
    }
}
