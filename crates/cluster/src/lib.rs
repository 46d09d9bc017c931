//! A member of a group of nodes on sockets and a disk, and the processes that attach to it.
//!
//! | module | job |
//! | --- | --- |
//! | [`driver`] | drives a group member: its time, its writes, its replies |
//! | [`listener`] | connections that come in: members, subscribers, operators |
//! | [`transport`] | the outgoing link to each other member |
//! | [`outbox`] | frames that wait for a link |
//! | [`framing`] | frames on links |
//! | [`config_server`] | the published configuration for attached subscribers |
//! | [`attachment`] | a subscriber's own side of its attachment |
//! | [`persistence`] | a member's writes as records of the store, and back |
//! | [`status`] | questions of operators and their answers |
//! | [`recovery`] | the way back from the loss of a majority |
//! | [`fault_injection`] | clocks and disks that fail on purpose, where a configuration says `testing` |
//! | [`error`] | errors of all of these |
//!
//! All decisions are those of `rainstand-replicated-state` and `rainstand-raft`. Everything runs on the program's one
//! thread, but for one thread that writes and flushes the log.

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

/// Whether a bug is planted by its name, see `rainstand_raft::plant`: never without the feature `planted`.
#[doc(hidden)]
pub use rainstand_raft::plant::planted;
