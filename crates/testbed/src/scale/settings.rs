//! Settings of a node with a given number of tenants.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Tenants have equal shares of `rate` requests per second. There is no downstream tier and no service registry.
pub fn node(
    name: &str,
    listen: SocketAddr,
    agent: SocketAddr,
    tenants: usize,
    sockets: usize,
    rate: f64,
) -> Value {
    let share = 1.0 / tenants as f64;
    let parties: Vec<Value> = (0..tenants)
        .map(|k| json!({"name": format!("t{k}"), "portion": share, "quotaRps": (rate * share).max(0.001)}))
        .collect();
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimS": 3.1, "deadlineS": 7.8, "effect": effect, "lateWorth": 0.2, "value": 1.0,
            "windowS": 5.0})
    };
    json!({
        "name": name,
        "listen": listen.to_string(),
        "agent": agent.to_string(),
        "seed": "8c1f30d27a5be964",
        "stop_ms": 1_000,
        "limits": {"cores": 4.0, "memory_mb": 512, "sockets": sockets},
        "settings": {
            "clients": {"marksRetry": true},
            "countedBy": "request",
            "familyInfo": {
                "below": "none", "callShare": 0.0, "callers": 2, "callsOverS": 5.0, "lingersS": 0.2,
                "classCalls": [false, false], "classSkipWorth": [0.0, 0.0],
                "cold": false, "cores": 64, "entryKb": 0.1, "freshS": 0.0,
                "gauges": ["core_use", "on_cores", "heap_share", "links"],
                "halt": "off", "hangupSeen": true, "idleS": 600.0, "passesDeadline": false,
                "ramKb": 4_000_000.0, "readiness": false, "realChecks": false, "runMemFactor": 1.0,
                "saidForS": 1.0, "say": "off"
            },
            "groupSize": 2,
            "obligations": {
                "answerSlackS": 0.08, "coldShare": 1.0, "drainGraceS": 1.0, "fallS": 3.0,
                "overloadFactor": 6.0, "rampTimeS": 1.0
            },
            "parties": parties,
            "permissions": {
                "cpuUsPerRequest": 0.0, "cpuUsPerS": 60_000, "maxRetryAfterS": 1.0, "retryAfter": true
            },
            "requestClasses": [class("check", "free"), class("register", "single_shot")]
        }
    })
}
