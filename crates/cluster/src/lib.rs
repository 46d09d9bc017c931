//! Runs a member of a group of nodes on sockets and a disk, and attaches subscribers to it.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`driver`] | runs a group member on a clock, sockets and a disk |
//! | [`listener`] | incoming connections of members, subscribers and operators |
//! | [`transport`] | outgoing links to the other members |
//! | [`outbox`] | queue of frames for one link |
//! | [`framing`] | framing of messages on links |
//! | [`config_server`] | serves the published configuration to subscribers |
//! | [`attachment`] | a subscriber's side of its attachment |
//! | [`version_store`] | a subscriber's versions on disk |
//! | [`persistence`] | encodes a member's writes as store records, and decodes them |
//! | [`status`] | answers operators' questions |
//! | [`recovery`] | recovery from the loss of a majority |
//! | [`fault_injection`] | injected clock and disk faults, if the configuration enables `testing` |
//! | [`error`] | errors of all modules |
//!
//! All decisions are made by `rainstand-replicated-state` and `rainstand-raft`. Everything runs on the program's single
//! thread, except for one thread that writes and flushes the log.

pub mod attachment;
pub mod config_server;
pub mod driver;
pub mod error;
pub mod fault_injection;
pub mod framing;
pub mod listener;
pub mod outbox;
pub mod persistence;
pub mod recovery;
pub mod status;
pub mod transport;
pub mod version_store;

pub use driver::{ClusterMember, MemberOptions};
pub use error::ClusterError;

use std::rc::Rc;
use tokio::task::spawn_local;

/// Starts a member: opens its folder, listens on its address, and joins its group. Must be called on a
/// [`tokio::task::LocalSet`].
///
/// # Errors
/// If the configuration names no such member, or its folder or address cannot be used.
pub async fn start(options: MemberOptions) -> Result<Rc<ClusterMember>, ClusterError> {
    let (member, listener) = ClusterMember::open(options).await?;
    spawn_local(listener::accept(member.clone(), listener));
    member.drive(|_, _| {});
    Ok(member)
}

/// Whether the named bug is planted, see `rainstand_raft::plant`; always false without the feature `planted`.
#[doc(hidden)]
pub use rainstand_raft::plant::planted;
