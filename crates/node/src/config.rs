//! The configuration of one node; what is wrong with it is said in one line.

use rainstand_settings::fields::{list, number, object, text_of, Fields};
use rainstand_settings::Start;
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Whom the node talks to by itself: all that a new file changes while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    pub agent: SocketAddr,
    pub announce: Option<SocketAddr>,
    /// The tier below; the last tier has none.
    pub below: Option<SocketAddr>,
}

#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub peers: Peers,
    pub seed: u64,
    pub stop: Duration,
    pub sockets: usize,
    /// In bytes; what the books keep stays within parts of it.
    pub memory: usize,
    pub settings: Fields,
    /// Keys of the file that mean nothing here, such as a slip; a line names each.
    pub unknown: Vec<String>,
}

/// All keys of the file.
const KEYS: [&str; 9] = [
    "name", "listen", "agent", "announce", "db", "seed", "stop_ms", "limits", "settings",
];
/// Unknown keys that are named: a file of nothing else is told by those that are missing.
const MAX_UNKNOWN_KEYS: usize = 8;

impl Config {
    /// ```
    /// use rainstand_node::config::Config;
    /// assert_eq!(Config::read(b"{}").err().unwrap(), "seed: no text there");
    /// assert!(Config::read(b"{").err().unwrap().starts_with("not JSON: "));
    /// ```
    pub fn read(bytes: &[u8]) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|e| format!("not JSON: {e}"))?;
        let all = value.as_object().ok_or("not a JSON object")?;
        let seed = text_of(all, "seed")?;
        let name = text_of(all, "name")?.to_owned();
        if name.is_empty()
            || !name
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        {
            return Err("name: letters, digits, '-', '_' and '.' only".into());
        }
        let limits = object(all, "limits").map_err(|e| format!("limits: {e}"))?;
        let limit = |key| number(limits, key).map_err(|e| format!("limits: {e}"));
        let config = Self {
            listen: address(all, "listen")?,
            peers: Peers {
                agent: address(all, "agent")?,
                announce: optional_address(all, "announce")?,
                below: optional_address(all, "db")?,
            },
            seed: u64::from_str_radix(seed, 16).map_err(|e| format!("seed: {e}"))?,
            stop: Duration::try_from_secs_f64(number(all, "stop_ms")? / 1e3)
                .map_err(|e| format!("stop_ms: {e}"))?,
            sockets: limit("sockets")? as usize,
            memory: (limit("memory_mb")? * f64::from(1 << 20)) as usize,
            settings: object(all, "settings")?.clone(),
            unknown: unknown(all),
            name,
        };
        if list(&config.settings, "requestClasses").is_empty() {
            return Err("settings: requestClasses: no list there".into());
        }
        config.start(Duration::ZERO, false)?;
        Ok(config)
    }

    /// The node's parts, made from the settings.
    pub fn start(&self, born: Duration, cold: bool) -> Result<Start, String> {
        Start::read(&self.settings, self.seed, born, cold).map_err(|e| format!("settings: {e}"))
    }
}

fn unknown(all: &Fields) -> Vec<String> {
    let odd = all.keys().filter(|key| !KEYS.contains(&key.as_str()));
    odd.take(MAX_UNKNOWN_KEYS)
        .map(|key| key.escape_debug().take(40).collect())
        .collect()
}

fn optional_address(all: &Fields, key: &str) -> Result<Option<SocketAddr>, String> {
    all.get(key)
        .filter(|value| !value.is_null())
        .map(|_| address(all, key))
        .transpose()
}

fn address(all: &Fields, key: &str) -> Result<SocketAddr, String> {
    let text = text_of(all, key)?;
    let found: SocketAddr = text
        .parse()
        .map_err(|_| format!("{key}: {text} is no address and port"))?;
    match found.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => {
            Err(format!("{key}: one address only, not all of them"))
        }
        _ => Ok(found),
    }
}
