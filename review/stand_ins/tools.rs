//! Time, chance, the record of a case, base64 and the flat JSON of the agent's commands.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Random numbers: splitmix64.
#[derive(Clone)]
pub struct Chance(pub u64);

impl Chance {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.next() % (most - least + 1)
    }
}

/// The record of a case: one line an event, with the time since the start.
#[derive(Clone)]
pub struct Record {
    pub file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn open(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let at = self.ms(Instant::now());
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:10.1} ms  {text}");
        }
    }
}

pub const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(BASE64[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for digit in text.bytes().filter(|byte| *byte != b'=') {
        let value = BASE64.iter().position(|known| *known == digit).unwrap_or(0) as u32;
        word = word << 6 | value;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}

/// The values of a flat JSON object, strings without their quotes. The node's commands have no escapes.
pub fn flat_json(line: &str) -> HashMap<String, String> {
    let mut values = HashMap::new();
    let inner = line.trim().trim_start_matches('{').trim_end_matches('}');
    for pair in inner.split(',') {
        if let Some((key, value)) = pair.split_once(':') {
            let plain = |text: &str| text.trim().trim_matches('"').to_owned();
            values.insert(plain(key), plain(value));
        }
    }
    values
}

/// A value in a body of the form `name=value;name=value`.
pub fn part(text: &str, name: &str) -> Option<String> {
    let mut parts = text.split(';').filter_map(|pair| pair.split_once('='));
    parts
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}
