//! Starts a member from a group's configuration and a folder.

use super::{tasks, ClusterMember, MemberOptions};
use crate::error::ClusterError;
use crate::fault_injection;
use crate::persistence;
use foldhash::{HashMap, HashMapExt};
use rainstand_config::schema;
use rainstand_raft::Timeouts;
use rainstand_replicated_state::member::{
    GroupEvent, GroupMember, MemberConfig, DEFAULT_COMPACTION_ENTRIES,
};
use rainstand_replicated_state::placement::MemberPlacement;
use rainstand_storage::{Disk, FolderDisk, IdentitySeed, OpenError, Recovered, Store, StoreLimits};
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// An open store and the contents recovered from it.
pub(super) struct OpenedStore {
    pub(super) store: Store<FolderDisk>,
    recovered: Recovered,
    /// Why the files in the folder were quarantined; `None` if they were valid.
    damage: Option<String>,
}

impl ClusterMember {
    /// Opens the member's folder, listens on its address, and starts the links to the other members. The caller has to
    /// accept connections on the returned listener: see [`crate::start`].
    ///
    /// # Errors
    /// If the configuration names no such member, or its folder or address cannot be used.
    pub(crate) async fn open(
        options: MemberOptions,
    ) -> Result<(Rc<Self>, TcpListener), ClusterError> {
        let MemberOptions {
            name,
            group: settings,
            log,
        } = options;
        let own = own_settings(&settings, &name)?;
        let (address, folder) = (parse_address(&own.address)?, PathBuf::from(&own.folder));
        let fault_file = fault_injection::configured_file(settings.testing)?;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| ClusterError::Listen { address, source })?;
        let clock = fault_injection::create_clock(fault_file.as_deref());
        let opened = open_store(&folder, fault_file.as_deref())?;
        let state = group_member(&settings, &name, &opened, clock.now())?;
        let (storage_reports, reports) = mpsc::unbounded_channel();
        let member = Rc::new(Self {
            name,
            folder,
            fault_file,
            clock,
            state: RefCell::new(state),
            writer: RefCell::new(None),
            storage_reports,
            store_number: Cell::new(0),
            outboxes: RefCell::new(HashMap::new()),
            requesters: RefCell::new(HashMap::new()),
            readers: RefCell::default(),
            replies: RefCell::default(),
            replies_queued: Notify::new(),
            deadline_moved: Notify::new(),
            log,
            failure: RefCell::new(None),
            commit_times: RefCell::default(),
            quarantines: Cell::new(u64::from(opened.damage.is_some())),
            flushes: Cell::new(0),
            config_server: RefCell::new(None),
            members: RefCell::new(settings.members.clone()),
            settings,
        });
        if let Some(reason) = opened.damage {
            (member.log)(&GroupEvent::StaleDisk { reason });
        }
        member.start_writer(opened.store);
        member.open_links();
        spawn_local(tasks::tick(member.clone()));
        spawn_local(tasks::deliver_replies(member.clone()));
        spawn_local(tasks::receive_storage_reports(member.clone(), reports));
        Ok((member, listener))
    }
}

fn own_settings<'a>(
    settings: &'a schema::Group,
    name: &str,
) -> Result<&'a schema::GroupMember, ClusterError> {
    let own = settings.members.iter().find(|member| member.name == name);
    own.ok_or_else(|| ClusterError::UnknownMember {
        group: settings.name.clone(),
        member: name.to_owned(),
    })
}

fn parse_address(address: &str) -> Result<SocketAddr, ClusterError> {
    address.parse().map_err(|_| ClusterError::InvalidAddress {
        address: address.to_owned(),
    })
}

/// Two random numbers, unique to this start, from the standard library's system-seeded hasher. 0 is reserved.
pub(super) fn draw_seed() -> IdentitySeed {
    let random_nonzero = || {
        let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
        hasher.write_u8(1);
        hasher.finish().max(1)
    };
    IdentitySeed {
        disk: random_nonzero(),
        nonce: random_nonzero(),
    }
}

/// The members' names and sites.
pub(super) fn placements(members: &[schema::GroupMember]) -> Vec<MemberPlacement> {
    let placement = |member: &schema::GroupMember| MemberPlacement {
        name: member.name.clone(),
        site: member.site.clone(),
    };
    members.iter().map(placement).collect()
}

/// Opens the store in a folder. If its files are damaged, quarantines them and opens an empty store.
pub(super) fn open_store(
    folder: &Path,
    fault_file: Option<&Path>,
) -> Result<OpenedStore, ClusterError> {
    let opened = Store::open(
        open_folder(folder, fault_file)?,
        StoreLimits::default(),
        draw_seed(),
    );
    match opened {
        Ok((store, recovered)) => Ok(OpenedStore {
            store,
            recovered,
            damage: None,
        }),
        Err(OpenError::Damaged(damage)) => {
            let mut disk = open_folder(folder, fault_file)?;
            disk.quarantine()
                .map_err(|source| folder_error(folder, source))?;
            let (store, recovered) = Store::open(disk, StoreLimits::default(), draw_seed())
                .map_err(|source| store_error(folder, source))?;
            Ok(OpenedStore {
                store,
                recovered,
                damage: Some(damage.to_string()),
            })
        }
        Err(source) => Err(store_error(folder, source)),
    }
}

fn open_folder(folder: &Path, fault_file: Option<&Path>) -> Result<FolderDisk, ClusterError> {
    let disk = FolderDisk::open(folder).map_err(|source| folder_error(folder, source))?;
    Ok(match fault_file {
        Some(file) => disk.with_fault_hook(fault_injection::fault_hook(file.to_owned())),
        None => disk,
    })
}

fn folder_error(folder: &Path, source: std::io::Error) -> ClusterError {
    ClusterError::Folder {
        folder: folder.to_owned(),
        source,
    }
}

fn store_error(folder: &Path, source: OpenError) -> ClusterError {
    ClusterError::Store {
        folder: folder.to_owned(),
        source,
    }
}

/// Creates the group member from the contents of an opened store.
pub(super) fn group_member(
    settings: &schema::Group,
    name: &str,
    opened: &OpenedStore,
    now: Duration,
) -> Result<GroupMember, ClusterError> {
    let config = MemberConfig {
        group: settings.name.clone(),
        name: name.to_owned(),
        members: placements(&settings.members),
        shards: settings.shards as u16,
        replicas_per_shard: settings.copies as usize,
        timeouts: Timeouts {
            heartbeat_interval: Duration::from_nanos(settings.heartbeat_ns),
            min_election_timeout: Duration::from_nanos(settings.election_least_ns),
            max_election_timeout: Duration::from_nanos(settings.election_most_ns),
        },
        max_concurrent_learners: settings.moves as usize,
        max_keys_per_shard: settings.keys as usize,
        compaction_entries: DEFAULT_COMPACTION_ENTRIES,
        seed: draw_seed().disk,
    };
    let recovered = persistence::decode_recovered(opened.store.identity(), &opened.recovered)?;
    Ok(GroupMember::new(config, recovered, now))
}
