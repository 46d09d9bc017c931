//! A forwarder's attachment to config servers: its options, how versions are applied, and how the last one is stored.

use crate::config_file::replace;
use clap::Args;
use rainstand_cluster::attachment::{
    run_attachment, ApplyCallback, ApplyError, AttachmentEvent, AttachmentOptions, AttachmentPhase,
    AttachmentStatus, StatusCallback,
};
use rainstand_config::schema::{Configuration, Control, ControlMember};
use rainstand_config_distribution::attachment::NodeIdentity;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::snapshot::{self, DecodedSnapshot};
use rainstand_config_distribution::subscriber::{Event, PendingUpdate, Subscriber};
use rainstand_config_distribution::UpdateError;
use rainstand_forwarder::admin::{ConfigSourceLine, RejectedVersion};
use rainstand_forwarder::config_updates::table_changes;
use rainstand_forwarder::ForwarderContext;
use rainstand_routing::subset::reduce;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_blocking, spawn_local, JoinError};

/// File in the control folder that holds the last version.
const SNAPSHOT_FILE: &str = "version.packed";
/// Minimum time between two writes of that file: each compresses the full version on a background thread.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Args, Clone, Default)]
#[group(id = "attachment")]
pub(crate) struct Options {
    /// Control machines to hear of new versions from, instead of those in the file's `control` block
    #[arg(long, value_delimiter = ',')]
    control: Vec<SocketAddr>,
    /// Where the last version in force is kept, to begin with it where no control machine answers
    #[arg(long)]
    control_folder: Option<PathBuf>,
    /// This process, by a name that no other has; wanted where there are control machines
    #[arg(long, default_value = "")]
    name: String,
    /// The region that it stands in; control machines in it come first, those in its zone before them
    #[arg(long, default_value = "")]
    region: String,
}

/// The identity with which a process attaches, and the servers that it attaches to.
pub(crate) struct AttachmentPlan {
    identity: NodeIdentity,
    servers: Vec<ControlMember>,
    folder: Option<PathBuf>,
    /// Number of this forwarder, which selects its subset of each pool.
    forwarder_number: usize,
    seed: u64,
}

/// A version read from disk at the start.
pub(crate) struct StoredVersion {
    pub(crate) snapshot: DecodedSnapshot,
    /// The snapshot's state as a configuration.
    pub(crate) configuration: Configuration,
}

/// Config servers are given, but the process has no name.
#[derive(Debug, thiserror::Error)]
#[error("config servers are given, but `--name` is missing")]
pub(crate) struct MissingName;

/// Why the configuration after an update cannot be determined.
#[derive(Debug, thiserror::Error)]
enum PendingError {
    #[error("no update is pending")]
    NothingPending,
    #[error(transparent)]
    Update(#[from] UpdateError),
}

/// Why a version cannot be stored.
#[derive(Debug, thiserror::Error)]
enum StoreError {
    #[error(transparent)]
    Encode(#[from] UpdateError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Thread(#[from] JoinError),
}

impl Options {
    /// The attachment that the options and the `control` block specify; `None` if neither names a config server.
    ///
    /// # Errors
    /// If there are config servers and this process has no name.
    pub(crate) fn plan(
        &self,
        block: Option<&Control>,
        zone: &str,
        forwarder_number: usize,
        seed: u64,
    ) -> Result<Option<AttachmentPlan>, MissingName> {
        let by_address = |address: &SocketAddr| ControlMember {
            name: address.to_string(),
            address: address.to_string(),
            ..ControlMember::default()
        };
        let servers: Vec<ControlMember> = match block {
            _ if !self.control.is_empty() => self.control.iter().map(by_address).collect(),
            Some(block) => block.members.clone(),
            None => return Ok(None),
        };
        if self.name.is_empty() {
            return Err(MissingName);
        }
        let configured_folder = block
            .map(|block| &block.folder)
            .filter(|folder| !folder.is_empty());
        let folder = self
            .control_folder
            .clone()
            .or(configured_folder.map(PathBuf::from));
        Ok(Some(AttachmentPlan {
            identity: NodeIdentity {
                name: self.name.clone(),
                region: self.region.clone(),
                zone: zone.to_owned(),
            },
            servers,
            folder,
            forwarder_number,
            seed,
        }))
    }
}

impl AttachmentPlan {
    /// The version in force before this start. If it cannot be read, the error is logged and `None` returned.
    pub(crate) fn stored_version(&self) -> Option<StoredVersion> {
        let path = self.folder.as_ref()?.join(SNAPSHOT_FILE);
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => {
                tracing::warn!(event = "version_unreadable", file = %path.display(), why = %error);
                return None;
            }
        };
        match decode_stored(&bytes) {
            Ok(stored) => Some(stored),
            Err(error) => {
                tracing::warn!(event = "version_unreadable", file = %path.display(), why = %error);
                None
            }
        }
    }

    /// Starts the attachment in the background, from the `stored` version if there is one.
    pub(crate) fn start(self, context: &Rc<ForwarderContext>, stored: Option<DecodedSnapshot>) {
        let identity = self.identity.clone();
        let subscriber = match stored {
            Some(DecodedSnapshot { version, state }) => {
                Subscriber::with_version(Duration::ZERO, identity, version, state)
            }
            None => Subscriber::new(Duration::ZERO, identity),
        };
        let status = Rc::new(RefCell::new(AttachmentStatus {
            version: subscriber.version(),
            digest: subscriber.state().digest(),
            ..AttachmentStatus::default()
        }));
        let (reported_status, started) = (status.clone(), Instant::now());
        context.config_source.replace(Some(Box::new(move || {
            status_line(&reported_status.borrow(), started)
        })));
        let options = AttachmentOptions {
            identity: self.identity,
            machines: self.servers,
            seed: self.seed,
            apply: apply_callback(context.clone(), self.forwarder_number),
            on_event: Box::new(log_event),
            on_status: store_callback(self.folder, subscriber.version()),
            status,
            subscriber,
        };
        spawn_local(run_attachment(options));
    }
}

fn decode_stored(bytes: &[u8]) -> Result<StoredVersion, UpdateError> {
    let snapshot = snapshot::decode(bytes)?;
    let configuration = snapshot.state.configuration()?;
    Ok(StoredVersion {
        snapshot,
        configuration,
    })
}

/// Applies the pending update to the forwarder: as a delta if possible, at a cost proportional to its size, or else as a
/// full configuration.
fn apply_callback(context: Rc<ForwarderContext>, forwarder_number: usize) -> ApplyCallback {
    Box::new(move |subscriber| {
        if let Some(PendingUpdate::Delta(delta)) = subscriber.pending() {
            // The first version is applied as a full configuration even if it is sent as a delta.
            if subscriber.version() > 0 {
                let changes = table_changes(subscriber.state(), delta, forwarder_number)
                    .map_err(ApplyError::new)?;
                match context.apply_changes(&changes) {
                    Ok(_) => return Ok(()),
                    Err(error) => {
                        tracing::warn!(event = "delta_not_applied", version = delta.to, why = %error);
                    }
                }
            }
        }
        let mut configuration = pending_configuration(subscriber).map_err(ApplyError::new)?;
        reduce(&mut configuration, forwarder_number);
        context
            .install_configuration(configuration)
            .map(drop)
            .map_err(ApplyError::new)
    })
}

/// The full configuration after the pending update.
fn pending_configuration(subscriber: &Subscriber) -> Result<Configuration, PendingError> {
    let configuration = match subscriber.pending() {
        Some(PendingUpdate::Snapshot { state, .. }) => state.configuration(),
        Some(PendingUpdate::Delta(delta)) => {
            let mut state = subscriber.state().clone();
            state.apply(delta).and_then(|()| state.configuration())
        }
        None => return Err(PendingError::NothingPending),
    };
    Ok(configuration?)
}

/// Writes the version in force to `folder`, at most once per [`SNAPSHOT_INTERVAL`] and when the attachment ends. One
/// write runs at a time.
fn store_callback(folder: Option<PathBuf>, stored_version: u64) -> StatusCallback {
    let mut stored_version = stored_version;
    let mut stored_at = None::<Instant>;
    let is_writing = Rc::new(Cell::new(false));
    Box::new(move |subscriber, phase| {
        let Some(folder) = &folder else { return };
        let version = subscriber.version();
        let is_early = stored_at.is_some_and(|at| at.elapsed() < SNAPSHOT_INTERVAL);
        if version == stored_version
            || is_early && phase == AttachmentPhase::Linked
            || is_writing.get()
        {
            return;
        }
        stored_version = version;
        stored_at = Some(Instant::now());
        is_writing.set(true);
        let state = subscriber.state().clone();
        let path = folder.join(SNAPSHOT_FILE);
        let is_writing = is_writing.clone();
        spawn_local(async move {
            let written = spawn_blocking(move || write_snapshot(&path, version, &state)).await;
            is_writing.set(false);
            if let Err(error) = written.unwrap_or_else(|error| Err(error.into())) {
                tracing::warn!(event = "version_write_failed", version, why = %error);
            }
        });
    })
}

fn write_snapshot(path: &Path, version: u64, state: &ConfigState) -> Result<(), StoreError> {
    let bytes = snapshot::encode(version, state)?;
    replace(path, &bytes)?;
    Ok(())
}

fn status_line(status: &AttachmentStatus, started: Instant) -> ConfigSourceLine {
    let age = status.known_newest_at.unwrap_or(started).elapsed();
    ConfigSourceLine {
        version: status.version,
        digest: format!("{:016x}", status.digest),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        server: status.machine.clone(),
        last_rejected: status.rejected.clone().map(|rejected| RejectedVersion {
            version: rejected.version,
            reason: rejected.reason,
        }),
        attachments: status.attachments,
        lost_attachments: status.lost_attachments,
        connection_attempts: status.connection_attempts,
        applied_versions: status.counters.applied,
        rejected_versions: status.counters.nacks,
        divergences: status.counters.divergences,
        bytes_in: status.counters.bytes_in,
        bytes_out: status.counters.bytes_out,
    }
}

/// Logs an event of the attachment. Event names are documented in `docs/control.md`.
fn log_event(event: &AttachmentEvent, subscriber: &Subscriber) {
    let holds = subscriber.version();
    match event {
        AttachmentEvent::Attached { machine } => {
            tracing::info!(event = "attached", machine, version = holds);
        }
        AttachmentEvent::Lost { machine, reason } => {
            let why = reason.to_string();
            tracing::warn!(event = "server_disconnected", machine, why, version = holds);
        }
        AttachmentEvent::Version(event) => log_version_event(event, subscriber),
    }
}

fn log_version_event(event: &Event, subscriber: &Subscriber) {
    let holds = subscriber.version();
    match event {
        Event::Applied { version } => {
            let digest = format!("{:016x}", subscriber.state().digest());
            tracing::info!(event = "version_applied", version, digest);
        }
        Event::Rejected { version, reason } => {
            tracing::warn!(event = "version_rejected", version, why = reason, holds);
        }
        Event::Diverged { version, reason } => {
            tracing::error!(event = "version_diverged", version, why = %reason, holds);
        }
        Event::Gap { current, from } => {
            tracing::warn!(event = "version_gap", from, holds = current);
        }
        Event::Malformed => tracing::warn!(event = "server_malformed_frame", holds),
    }
}
