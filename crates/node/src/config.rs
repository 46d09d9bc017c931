//! The configuration file of one node. An invalid file is reported in one line.

use crate::log_event;
use rainstand_settings::fields::{list, number, object, text_of, Fields};
use rainstand_settings::{Machine, SettingsError, Start};
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};
use std::num::ParseIntError;
use std::time::{Duration, TryFromFloatSecsError};

/// Bytes in a megabyte of `memory_mb`.
const MEGABYTE: u32 = 1 << 20;

/// All known keys of the file.
const KEYS: [&str; 9] = [
    "name", "listen", "agent", "announce", "db", "seed", "stop_ms", "limits", "settings",
];

/// How many unknown keys are logged. A file of only unknown keys is rejected for its missing ones anyway.
const MAX_UNKNOWN_KEYS: usize = 8;

/// Characters of an unknown key that are logged.
const MAX_UNKNOWN_KEY_CHARS: usize = 40;

/// The addresses that the node connects to. A reload changes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The execution agent.
    pub agent: SocketAddr,
    /// The announce service, if there is one.
    pub announce: Option<SocketAddr>,
    /// The downstream tier; the last tier has none.
    pub downstream: Option<SocketAddr>,
}

/// A configuration file.
#[derive(Clone)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The addresses that the node connects to.
    pub peers: Peers,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Time from the shutdown notice to the kill.
    pub stop_timeout: Duration,
    /// Descriptors that the node may have open.
    pub max_descriptors: usize,
    /// Memory limit in bytes; each of the node's caches and buffers is bounded by a fraction of it.
    pub memory_bytes: usize,
    /// The policy's settings.
    pub settings: Fields,
    /// Unknown keys of the file, such as a misspelt one.
    pub unknown_keys: Vec<String>,
}

/// Why a configuration file is invalid, in one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The file is JSON, but not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// A key is missing, or its value has another type.
    #[error("{0}")]
    Field(SettingsError),
    /// The same under `limits`.
    #[error("limits: {0}")]
    Limits(SettingsError),
    /// The node's name is empty or has other characters.
    #[error("name: letters, digits, '-', '_' and '.' only")]
    Name,
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: {0}")]
    Seed(ParseIntError),
    /// The time until the kill is not a valid duration.
    #[error("stop_ms: {0}")]
    Stop(TryFromFloatSecsError),
    /// A text is not an address with a port.
    #[error("{key}: {text} is no address and port")]
    Address {
        /// The address's key.
        key: &'static str,
        /// The text in the file.
        text: String,
    },
    /// An address is unspecified (0.0.0.0).
    #[error("{key}: one address only, not all of them")]
    UnspecifiedAddress {
        /// The address's key.
        key: &'static str,
    },
    /// The settings list no request classes.
    #[error("settings: requestClasses: missing or empty list")]
    NoClasses,
    /// The policy cannot use the settings.
    #[error("settings: {0}")]
    Settings(SettingsError),
}

impl Config {
    /// Reads a file, and checks that the policy can use its settings.
    ///
    /// # Errors
    /// The first problem that is found in the file.
    ///
    /// ```
    /// use rainstand_node::config::Config;
    /// let error = |bytes| Config::read(bytes).err().unwrap().to_string();
    /// assert_eq!(error(b"{}"), "seed: no text there");
    /// assert!(error(b"{").starts_with("not JSON: "));
    /// ```
    pub fn read(bytes: &[u8]) -> Result<Self, ConfigError> {
        let value: Value = serde_json::from_slice(bytes)?;
        let fields = value.as_object().ok_or(ConfigError::NotAnObject)?;
        let seed = text(fields, "seed")?;
        let name = text(fields, "name")?;
        if !is_valid_name(name) {
            return Err(ConfigError::Name);
        }
        let limits = object(fields, "limits").map_err(ConfigError::Limits)?;
        let limit = |key| number(limits, key).map_err(ConfigError::Limits);
        let config = Self {
            name: name.to_owned(),
            listen: address(fields, "listen")?,
            peers: Peers {
                agent: address(fields, "agent")?,
                announce: optional_address(fields, "announce")?,
                downstream: optional_address(fields, "db")?,
            },
            seed: u64::from_str_radix(seed, 16).map_err(ConfigError::Seed)?,
            stop_timeout: milliseconds(fields, "stop_ms")?,
            max_descriptors: limit("sockets")? as usize,
            memory_bytes: (limit("memory_mb")? * f64::from(MEGABYTE)) as usize,
            settings: object(fields, "settings")
                .map_err(ConfigError::Field)?
                .clone(),
            unknown_keys: unknown_keys(fields),
        };
        if list(&config.settings, "requestClasses").is_empty() {
            return Err(ConfigError::NoClasses);
        }
        config.start(Machine::default())?;
        Ok(config)
    }

    /// Creates the policy and the node's parameters from the settings. `machine` holds the agent's start.
    ///
    /// # Errors
    /// If the settings cannot be used.
    pub fn start(&self, machine: Machine) -> Result<Start, ConfigError> {
        Start::read(&self.settings, self.seed, machine).map_err(ConfigError::Settings)
    }

    /// Logs each unknown key in its own line.
    pub fn log_unknown_keys(&self) {
        for key in &self.unknown_keys {
            log_event!(
                "config_key",
                "config",
                key = key,
                what = "is unknown and ignored"
            );
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.bytes().all(is_valid)
}

fn text<'a>(fields: &'a Fields, key: &str) -> Result<&'a str, ConfigError> {
    text_of(fields, key).map_err(ConfigError::Field)
}

fn milliseconds(fields: &Fields, key: &str) -> Result<Duration, ConfigError> {
    let ms = number(fields, key).map_err(ConfigError::Field)?;
    Duration::try_from_secs_f64(ms / 1e3).map_err(ConfigError::Stop)
}

fn unknown_keys(fields: &Fields) -> Vec<String> {
    fields
        .keys()
        .filter(|key| !KEYS.contains(&key.as_str()))
        .take(MAX_UNKNOWN_KEYS)
        .map(|key| key.escape_debug().take(MAX_UNKNOWN_KEY_CHARS).collect())
        .collect()
}

fn optional_address(fields: &Fields, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    fields
        .get(key)
        .filter(|value| !value.is_null())
        .map(|_| address(fields, key))
        .transpose()
}

fn address(fields: &Fields, key: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = text(fields, key)?;
    let address: SocketAddr = text.parse().map_err(|_| ConfigError::Address {
        key,
        text: text.to_owned(),
    })?;
    match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Err(ConfigError::UnspecifiedAddress { key }),
        _ => Ok(address),
    }
}
