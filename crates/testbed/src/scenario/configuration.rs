//! Configuration files of nodes and of their group.

use super::{Node, Scenario, DRAIN_TIMEOUT};
use crate::fault_schedule::Link;
use rainstand_config::schema;
use rainstand_config::schema::Configuration;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

impl Scenario {
    pub(super) fn node_settings(&self, index: usize, front: SocketAddr) -> serde_json::Value {
        let agent = self.links[&Link::Agent { node: index }].addr;
        let (name, within) = (
            &self.nodes[index].name,
            Duration::from_nanos(self.rig.within_ns),
        );
        let mut configuration =
            node_configuration(name, front, agent, self.seed ^ index as u64, within);
        configuration["settings"]["familyInfo"]["callers"] = self.rig.callers.into();
        configuration["settings"]["groupSize"] = self.rig.nodes.into();
        configuration
    }

    /// The group's configuration for one node, which reaches the other members through its own links.
    pub(super) fn group_configuration(&self, index: usize, own: SocketAddr) -> Configuration {
        let member = |(member_index, node): (usize, &Node)| schema::GroupMember {
            name: node.name.clone(),
            site: format!("s{}", member_index % self.rig.sites.max(1) as usize),
            address: if member_index == index {
                own
            } else {
                self.links[&Link::Peer {
                    from: index,
                    to: member_index,
                }]
                    .addr
            }
            .to_string(),
            folder: self.nodes[member_index]
                .folder
                .join("disk")
                .display()
                .to_string(),
        };
        let members = self.nodes.iter().enumerate().map(member).collect();
        let within = Duration::from_nanos(self.rig.within_ns);
        let mut configuration = group_of(self.rig.shards, self.rig.copies, within, members);
        for group in &mut configuration.groups {
            (group.heartbeat_ns, group.testing) = (30_000_000, true);
            (group.election_least_ns, group.election_most_ns) = (150_000_000, 300_000_000);
            group.commit_wait_ns = 500_000;
            group.come_back_ns = 100_000_000;
        }
        configuration
    }
}

/// A node's configuration file: two request classes, the second with idempotency keys, and one tenant.
pub(crate) fn node_configuration(
    name: &str,
    listen: SocketAddr,
    agent: SocketAddr,
    seed: u64,
    within: Duration,
) -> serde_json::Value {
    let within = within.as_secs_f64();
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimS": within * 0.9, "deadlineS": within, "effect": effect,
            "lateWorth": 0.5, "value": 1.0, "windowS": 120.0})
    };
    json!({
        "name": name,
        "listen": listen.to_string(),
        "agent": agent.to_string(),
        "seed": format!("{seed:016x}"),
        "stop_ms": DRAIN_TIMEOUT.as_millis() as u64,
        "limits": {"cores": 4.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "clients": {"marksRetry": true},
            "countedBy": "request",
            "familyInfo": {
                "below": "none", "callShare": 0.0, "callers": 1, "callsOverS": 5.0,
                "lingersS": 0.2, "classCalls": [false, false], "classSkipWorth": [0.0, 0.0],
                "cold": false, "cores": 64, "entryKb": 0.1, "freshS": 0.0,
                "gauges": ["core_use", "on_cores", "heap_share", "links"],
                "halt": "off", "hangupSeen": true, "idleS": 15.0, "passesDeadline": false,
                "ramKb": 4_000_000.0, "readiness": false, "realChecks": false, "runMemFactor": 1.0,
                "saidForS": 1.0, "say": "off"
            },
            "groupSize": 1,
            "obligations": {
                "answerSlackS": 0.05, "coldShare": 1.0, "drainGraceS": 1.0, "fallS": 3.0,
                "overloadFactor": 6.0, "rampTimeS": 1.0
            },
            "parties": [{"name": "acme", "portion": 1.0, "quotaRps": 100_000.0}],
            "permissions": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfterS": 1.0,
                "retryAfter": true},
            "requestClasses": [class("check", "free"), class("register", "guarded")]
        }
    })
}

/// A configuration of one group, with the timeouts given in the operators' documentation.
pub(crate) fn group_of(
    shards: u64,
    copies: u64,
    within: Duration,
    members: Vec<schema::GroupMember>,
) -> Configuration {
    let group = schema::Group {
        name: "rig".to_owned(),
        shards,
        copies,
        heartbeat_ns: 50_000_000,
        election_least_ns: 300_000_000,
        election_most_ns: 600_000_000,
        commit_wait_ns: 0,
        keys: 100_000,
        moves: 2,
        testing: false,
        members,
        start_within_ns: within.as_nanos() as u64 / 2,
        come_back_ns: 500_000_000,
    };
    Configuration {
        version: schema::VERSION,
        groups: vec![group],
        ..Configuration::default()
    }
}
