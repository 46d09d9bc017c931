//! Joins the configured group, applies changes of its members, and logs its events.

use crate::context::NodeContext;
use crate::group_handle::GroupHandle;
use crate::settings::{Settings, SettingsError};
use crate::{descriptors, log_event};
use rainstand_cluster::{ClusterError, MemberOptions};
use rainstand_config::schema::Group;
use rainstand_replicated_state::member::GroupEvent;
use std::io;
use std::rc::Rc;

/// The environment variable with the path of the compiled configuration.
const SETTINGS_VARIABLE: &str = "RAINSTAND_SETTINGS";

/// Descriptors reserved for a member's store: its folder, the log's two files, a snapshot, and as many in reserve.
const STORE_DESCRIPTORS: usize = 8;

/// Descriptors that a member uses: one connection to and one from each other member, and its store.
fn member_descriptors(members: usize) -> usize {
    2 * members.saturating_sub(1) + STORE_DESCRIPTORS
}

/// Why the members of a configuration cannot be applied.
#[derive(Debug, thiserror::Error)]
enum MembersError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("the configuration has no group")]
    NoGroup,
    #[error(transparent)]
    Cluster(#[from] ClusterError),
}

/// Joins the group of a configuration.
///
/// # Errors
/// If the member cannot start.
pub async fn join(context: &Rc<NodeContext>, group: Group) -> Result<(), ClusterError> {
    let descriptors = member_descriptors(group.members.len());
    context.reserved_descriptors.set(descriptors);
    let options = MemberOptions {
        name: context.config.name.clone(),
        group,
        log: Box::new(log_group_event),
    };
    let member = rainstand_cluster::start(options).await?;
    let handle = Rc::new(GroupHandle::new(member));
    context.core.borrow_mut().table.group = Some(handle.clone());
    tokio::task::spawn_local(handle.report_prior_runs());
    Ok(())
}

/// Reloads the configuration on SIGHUP and applies its members; if it is rejected, the old members stay.
pub async fn reload(context: &NodeContext) {
    let handle = context.core.borrow().table.group.clone();
    let path = std::env::var_os(SETTINGS_VARIABLE);
    let (Some(handle), Some(path)) = (handle, path) else {
        return;
    };
    let read = || async { std::fs::read_to_string(&path) };
    let text = descriptors::with_retry(context, "configuration", read).await;
    let applied = text
        .map_err(MembersError::from)
        .and_then(|text| set_members(&handle, &text));
    match applied {
        Ok(count) => {
            context.reserved_descriptors.set(member_descriptors(count));
            log_event!(
                "group_members_applied",
                "group members applied",
                count = count
            );
        }
        Err(error) => {
            log_event!(
                "group_members_rejected",
                "group members rejected, the old members stay",
                why = error.to_string().escape_debug()
            );
        }
    }
}

/// Applies the members in the text of a configuration, and returns their number.
fn set_members(handle: &GroupHandle, text: &str) -> Result<usize, MembersError> {
    let settings = Settings::read(text)?;
    let group = settings.group.ok_or(MembersError::NoGroup)?;
    handle.member().set_members(&group)?;
    Ok(group.members.len())
}

/// Logs an event of the group, each with its own code.
fn log_group_event(event: &GroupEvent) {
    match event {
        GroupEvent::Bootstrapped { members } => {
            log_event!(
                "group_bootstrapped",
                "the group is bootstrapped",
                members = members
            );
        }
        GroupEvent::BecameLeader { shard, term } => {
            log_event!(
                "shard_leadership_gained",
                "became leader",
                shard = shard,
                term = term
            );
        }
        GroupEvent::LostLeadership { shard } => {
            log_event!("shard_leadership_lost", "lost leadership", shard = shard);
        }
        GroupEvent::MembershipChanged { shard, membership } => log_event!(
            "shard_membership_changed",
            "membership of a shard changed",
            shard = shard,
            what = membership
        ),
        GroupEvent::Diverged { shard, divergence } => {
            let (index, own) = (divergence.index, divergence.own_checksum);
            log_divergence(*shard, index, own, divergence.majority_checksum);
        }
        GroupEvent::StaleDisk { reason } => log_event!(
            "replica_quarantined",
            "the files are quarantined, this node is a new member",
            why = reason
        ),
        GroupEvent::StalePeer { name, disk, reason } => log_event!(
            "peer_stale_disk",
            "a member connected with a stale disk",
            name = name,
            disk = format_args!("{disk:016x}"),
            why = reason
        ),
        GroupEvent::CaughtUp { shard, index } => log_event!(
            "shard_snapshot_installed",
            "snapshot of a shard installed",
            shard = shard,
            index = index
        ),
        GroupEvent::DiskStalled => log_event!(
            "disk_stalled",
            "the disk stalled: this member confirms nothing"
        ),
        GroupEvent::DiskFailed { reason } => log_event!(
            "disk_failed",
            "the disk failed: this member confirms nothing until a restart",
            why = reason
        ),
    }
}

/// Logs that the checksum of this replica's entries up to `index` differs from the majority's.
fn log_divergence(shard: u16, index: u64, own_checksum: u64, majority_checksum: u64) {
    log_event!(
        "replica_diverged",
        "this replica diverged from the majority: its files are quarantined",
        shard = shard,
        what =
            format_args!("entry {index}: {own_checksum:016x} here, {majority_checksum:016x} there")
    );
}
