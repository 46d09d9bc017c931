//! A new configuration file under load: at SIGHUP the node reads it anew and takes its addresses and its
//! settings, or nothing of it: half a file would send one customer's tickets by another's settings.
//!
//! Which traffic types and tenants there are, the memory and the cores hold until the next start; the file may
//! list types and tenants in another order. Runs and notice numbers go on over the move, and what is in hand stays
//! in hand, under the terms it came under; what cannot be taken leaves the old file in force. The way back is the
//! same step with the old file.

use crate::config::{Config, Peers};
use crate::counters::count;
use crate::{descriptors, idempotency, log_event, Core, NodeContext};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// Reads the file again at each signal, also while draining.
pub async fn keep_reloading(context: Rc<NodeContext>, path: PathBuf, mut signals: Signal) {
    while signals.recv().await.is_some() {
        idempotency::reload(&context).await;
        let read =
            descriptors::with_retry(&context, "configuration", || async { std::fs::read(&path) })
                .await;
        let read = read
            .map_err(|e| e.to_string())
            .and_then(|bytes| Config::read(&bytes));
        match read {
            Ok(config) => {
                for key in &config.unknown {
                    log_event!(
                        "config_key",
                        "config",
                        key = key,
                        what = "is not known and does nothing"
                    );
                }
                let peers = config.peers;
                match apply_settings(&context, config) {
                    Ok(()) => take(&context, peers),
                    Err(why) => {
                        count(&context.counts.reloads_refused);
                        log_event!(
                            "retune_refused",
                            "settings refused, the old file stays",
                            why = why
                        );
                    }
                }
            }
            // One line whatever is in the file: it may hold line ends.
            Err(why) => {
                count(&context.counts.reloads_refused);
                let why = why.escape_debug();
                log_event!(
                    "reload_refused",
                    "reload refused, the old addresses stay",
                    why = why
                );
            }
        }
    }
}

/// Whoever talks to an address that is no longer named turns to the new one at once.
pub fn take(context: &NodeContext, new: Peers) {
    let old = context.peer_addresses.replace(new);
    let shown = |peer: Option<SocketAddr>| peer.map_or("none".to_owned(), |addr| addr.to_string());
    let (below, announce) = (shown(new.below), shown(new.announce));
    log_event!(
        "reload",
        "reload",
        agent = new.agent,
        db = below,
        announce = announce
    );
    if old.agent != new.agent {
        context.link.moved.notify_one();
    }
    if old.below != new.below {
        context.core.borrow().table.downstream.move_to(new.below);
    }
    if old.announce != new.announce {
        context.report_wakeup.notify_one();
    }
}

/// The module's settings of a new file, with those that the program reads beside it.
///
/// # Errors
/// Where the new settings name other traffic types or tenants: the books are laid out by them.
pub fn apply_settings(context: &NodeContext, mut config: Config) -> Result<(), String> {
    let mut core = context.core.borrow_mut();
    let Core { controller, table } = &mut *core;
    config.settings =
        rainstand_settings::in_order(&config.settings, &table.classes, &table.tenants)?;
    let start = config.start(table.now(), false)?;
    (table.fresh, table.can_pause, table.class_limits) = (start.fresh, start.can_stop, start.kinds);
    *context.gauge_names.borrow_mut() = start.gauges;
    context.idle_timeout.set(start.idle);
    context.drain_grace.set(start.grace);
    context.max_retry_after.set(start.longest_pause);
    context.registry_follows_health.set(start.listed_by_state);
    if let Some(node) = controller {
        node.reconfigure(start.node);
    }
    log_event!(
        "retune",
        "settings taken",
        can_stop = start.can_stop,
        longest_ms = start.longest_pause.as_millis()
    );
    drop(core);
    *context.reloaded_config.borrow_mut() = Some(config);
    Ok(())
}
