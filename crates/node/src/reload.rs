//! Reload of the configuration file under load: at SIGHUP the node reads the file again and applies all of its addresses
//! and settings, or none: a partly applied file could handle one customer's requests by another's settings.
//!
//! The set of classes and tenants, the memory and the cores are fixed until the next start; the file may list classes
//! and tenants in another order. Runs and notice numbers continue over the reload, and requests in flight keep the
//! settings under which they arrived. If the new file cannot be applied, the old one stays in force. A rollback is a
//! reload of the old file.

use crate::config::{Config, ConfigError, Peers};
use crate::context::{Core, NodeContext};
use crate::counters::count;
use crate::{descriptors, group_membership, log_event};
use rainstand_cluster::planted;
use rainstand_settings::Machine;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::timeout;

/// Why the file could not be read again.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// Why the settings of a file could not be applied.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The settings name other classes or tenants than the node started with.
    #[error("{0}")]
    NameMismatch(rainstand_settings::SettingsError),
    /// The policy cannot use the settings.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// Reloads the file at each signal, also while draining.
pub async fn keep_reloading(context: Rc<NodeContext>, path: PathBuf, mut signals: Signal) {
    while signals.recv().await.is_some() {
        if planted("descriptor-leak") {
            std::mem::forget(std::fs::File::open(&path));
        }
        group_membership::reload(&context).await;
        match read(&context, &path).await {
            Ok(config) => {
                apply(&context, config);
                if planted("reload-forgotten") {
                    // The planted bug: a signal within the next 3 ms is lost.
                    let _ = timeout(Duration::from_millis(3), signals.recv()).await;
                }
            }
            Err(error) => {
                count(&context.counts.reloads_refused);
                // Escaped to stay on one line: the error may quote line ends of the file.
                log_event!(
                    "reload_refused",
                    "reload refused, the old addresses stay in force",
                    why = error.to_string().escape_debug()
                );
            }
        }
    }
}

async fn read(context: &NodeContext, path: &PathBuf) -> Result<Config, ReadError> {
    let read = || async { std::fs::read(path) };
    let bytes = descriptors::with_retry(context, "configuration", read).await?;
    Ok(Config::read(&bytes)?)
}

/// Applies all of a file, or none of it.
fn apply(context: &NodeContext, config: Config) {
    config.log_unknown_keys();
    let peers = config.peers;
    match apply_settings(context, config) {
        Ok(()) => apply_peers(context, peers),
        Err(error) => {
            count(&context.counts.reloads_refused);
            log_event!(
                "settings_refused",
                "settings refused, the old file stays in force",
                why = error
            );
        }
    }
}

/// Switches to the peers' new addresses: links and calls to a peer that moved use its new address immediately.
pub fn apply_peers(context: &NodeContext, new: Peers) {
    let old = context.peer_addresses.replace(new);
    let text = |peer: Option<SocketAddr>| peer.map_or("none".to_owned(), |peer| peer.to_string());
    log_event!(
        "reload",
        "reload",
        agent = new.agent,
        db = text(new.downstream),
        announce = text(new.announce)
    );
    if old.agent != new.agent {
        context.link.address_changed.notify_one();
    }
    if old.downstream != new.downstream {
        context
            .core
            .borrow()
            .table
            .downstream
            .set_address(new.downstream);
    }
    if old.announce != new.announce {
        context.report_wakeup.notify_one();
    }
}

/// Applies a new file's settings for the policy and for the node itself.
///
/// # Errors
/// If the settings name other classes or tenants, as the request table is indexed by them, or cannot be used.
pub fn apply_settings(context: &NodeContext, mut config: Config) -> Result<(), ApplyError> {
    let mut core = context.core.borrow_mut();
    let Core { controller, table } = &mut *core;
    config.settings =
        rainstand_settings::align_names(&config.settings, &table.classes, &table.tenants)
            .map_err(ApplyError::NameMismatch)?;
    let start = config.start(Machine {
        started: table.now(),
        ..Machine::default()
    })?;
    table.max_result_age = start.max_result_age;
    table.can_pause = start.can_cancel_runs;
    table.class_limits = start.class_limits;
    *context.gauge_names.borrow_mut() = start.gauges;
    context.idle_timeout.set(start.idle_timeout);
    context.drain_grace.set(start.drain_grace);
    context.max_retry_after.set(start.max_retry_after);
    context
        .registry_follows_health
        .set(start.registry_follows_health);
    if let Some(policy) = controller {
        policy.reconfigure(start.controller);
    }
    log_event!(
        "settings_applied",
        "settings applied",
        can_stop = start.can_cancel_runs,
        longest_ms = start.max_retry_after.as_millis()
    );
    drop(core);
    *context.reloaded_config.borrow_mut() = Some(config);
    Ok(())
}
