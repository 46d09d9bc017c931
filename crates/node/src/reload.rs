//! A new configuration file under load: at SIGHUP the node reads it anew and takes its addresses.
//!
//! All else in it holds until the next start. Runs and notice numbers go on over the move; what cannot be
//! read leaves the old addresses in force.

use crate::config::{Config, Peers};
use crate::{note, Hub};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// Reads the file again at each signal, also while draining.
pub async fn keep_reloading(hub: Rc<Hub>, path: PathBuf, mut signals: Signal) {
    while signals.recv().await.is_some() {
        let read = std::fs::read(&path).map_err(|e| e.to_string()).and_then(|bytes| Config::read(&bytes));
        match read {
            Ok(config) => {
                for key in &config.unknown {
                    note!("config_key", "config", key = key, what = "is not known and does nothing");
                }
                take(&hub, config.peers);
            }
            // One line whatever is in the file: it may hold line ends.
            Err(why) => {
                let why = why.escape_debug();
                note!("reload_refused", "reload refused, the old addresses stay", why = why);
            }
        }
    }
}

/// Whoever talks to an address that is no longer named turns to the new one at once.
pub fn take(hub: &Hub, new: Peers) {
    let old = hub.peers.replace(new);
    let shown = |peer: Option<SocketAddr>| peer.map_or("none".to_owned(), |addr| addr.to_string());
    let (below, announce) = (shown(new.below), shown(new.announce));
    note!("reload", "reload", agent = new.agent, db = below, announce = announce);
    if old.agent != new.agent {
        hub.link.moved.notify_one();
    }
    if old.below != new.below {
        hub.core.borrow().desk.pool.move_to(new.below);
    }
    if old.announce != new.announce {
        hub.report_now.notify_one();
    }
}
