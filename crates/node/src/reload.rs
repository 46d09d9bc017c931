//! A new configuration file under load: at SIGHUP the node reads it anew and takes its addresses and its
//! settings, or nothing of it: half a file would send one customer's tickets by another's settings.
//!
//! Which traffic types and tenants there are, the memory and the cores hold until the next start; the file may
//! list types and tenants in another order. Runs and notice numbers go on over the move, and what is in hand stays
//! in hand, under the terms it came under; what cannot be taken leaves the old file in force. The way back is the
//! same step with the old file.

use crate::config::{Config, Peers};
use crate::counters::count;
use crate::{descriptors, idempotency, note, Core, NodeContext};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// Reads the file again at each signal, also while draining.
pub async fn keep_reloading(hub: Rc<NodeContext>, path: PathBuf, mut signals: Signal) {
    while signals.recv().await.is_some() {
        idempotency::reload(&hub).await;
        let read =
            descriptors::have(&hub, "configuration", || async { std::fs::read(&path) }).await;
        let read = read
            .map_err(|e| e.to_string())
            .and_then(|bytes| Config::read(&bytes));
        match read {
            Ok(config) => {
                for key in &config.unknown {
                    note!(
                        "config_key",
                        "config",
                        key = key,
                        what = "is not known and does nothing"
                    );
                }
                let peers = config.peers;
                match retune(&hub, config) {
                    Ok(()) => take(&hub, peers),
                    Err(why) => {
                        count(&hub.counts.reloads_refused);
                        note!(
                            "retune_refused",
                            "settings refused, the old file stays",
                            why = why
                        );
                    }
                }
            }
            // One line whatever is in the file: it may hold line ends.
            Err(why) => {
                count(&hub.counts.reloads_refused);
                let why = why.escape_debug();
                note!(
                    "reload_refused",
                    "reload refused, the old addresses stay",
                    why = why
                );
            }
        }
    }
}

/// Whoever talks to an address that is no longer named turns to the new one at once.
pub fn take(hub: &NodeContext, new: Peers) {
    let old = hub.peer_addresses.replace(new);
    let shown = |peer: Option<SocketAddr>| peer.map_or("none".to_owned(), |addr| addr.to_string());
    let (below, announce) = (shown(new.below), shown(new.announce));
    note!(
        "reload",
        "reload",
        agent = new.agent,
        db = below,
        announce = announce
    );
    if old.agent != new.agent {
        hub.link.moved.notify_one();
    }
    if old.below != new.below {
        hub.core.borrow().desk.downstream.move_to(new.below);
    }
    if old.announce != new.announce {
        hub.report_wakeup.notify_one();
    }
}

/// The module's settings of a new file, with those that the program reads beside it.
///
/// # Errors
/// Where the new settings name other traffic types or tenants: the books are laid out by them.
pub fn retune(hub: &NodeContext, mut config: Config) -> Result<(), String> {
    let mut core = hub.core.borrow_mut();
    let Core { controller, desk } = &mut *core;
    config.settings =
        rainstand_settings::align_names(&config.settings, &desk.classes, &desk.tenants)?;
    let start = config.start(desk.now(), false)?;
    (desk.fresh, desk.can_pause) = (start.max_result_age, start.can_cancel_runs);
    desk.class_limits = start.class_limits;
    *hub.gauge_names.borrow_mut() = start.gauges;
    hub.idle_timeout.set(start.idle_timeout);
    hub.drain_grace.set(start.drain_grace);
    hub.max_retry_after.set(start.max_retry_after);
    hub.registry_follows_health
        .set(start.registry_follows_health);
    if let Some(node) = controller {
        node.reconfigure(start.controller);
    }
    note!(
        "retune",
        "settings taken",
        can_stop = start.can_cancel_runs,
        longest_ms = start.max_retry_after.as_millis()
    );
    drop(core);
    *hub.reloaded_config.borrow_mut() = Some(config);
    Ok(())
}
