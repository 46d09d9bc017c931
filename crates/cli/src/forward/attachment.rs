//! A forwarder's attachment to config servers: its options, how versions are applied, and how the last one is stored.

use clap::Args;
use rainstand_cluster::attachment::{
    run_attachment, ApplyCallback, ApplyError, AttachmentEvent, AttachmentOptions,
    AttachmentStatus, StatusCallback, StoreCallback,
};
use rainstand_cluster::version_store::{
    recover_folder, RecoveredVersions, StoreError, VersionWriter,
};
use rainstand_config::schema::{Configuration, Control, ControlMember};
use rainstand_config_distribution::attachment::NodeIdentity;
use rainstand_config_distribution::snapshot::DecodedSnapshot;
use rainstand_config_distribution::subscriber::{Event, PendingUpdate, Subscriber};
use rainstand_config_distribution::UpdateError;
use rainstand_forwarder::admin::{ConfigSourceLine, RejectedVersion};
use rainstand_forwarder::config_updates::table_changes;
use rainstand_forwarder::ForwarderContext;
use rainstand_routing::subset::reduce;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

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

/// Why a version that could not be stored is rejected, for operators of the config servers.
#[derive(Debug, thiserror::Error)]
#[error("cannot be stored: {0}")]
struct StoreFailure(#[source] StoreError);

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
    /// The versions to begin with, in the order in which they are tried. What cannot be read is logged.
    pub(crate) fn stored_versions(&self) -> Vec<StoredVersion> {
        let Some(folder) = &self.folder else {
            tracing::warn!(event = "versions_not_stored", why = "no control folder");
            return Vec::new();
        };
        let RecoveredVersions {
            newest,
            previous,
            errors,
        } = recover_folder(folder);
        for error in errors {
            tracing::warn!(event = "version_unreadable", folder = %folder.display(), why = %error);
        }
        let candidates = newest.into_iter().chain(previous);
        candidates
            .filter_map(StoredVersion::from_snapshot)
            .collect()
    }

    /// Starts the attachment in the background, from the `stored` version if there is one.
    ///
    /// # Errors
    /// If the thread that stores versions cannot be started.
    pub(crate) fn start(
        self,
        context: &Rc<ForwarderContext>,
        stored: Option<DecodedSnapshot>,
    ) -> io::Result<()> {
        let identity = self.identity.clone();
        let DecodedSnapshot { version, state } = stored.unwrap_or_default();
        let mut subscriber = Subscriber::with_version(Duration::ZERO, identity, version, state);
        let mut writer = None;
        if let Some(folder) = self.folder {
            subscriber = subscriber.with_durable_storage();
            let started = VersionWriter::start(folder, version)?;
            writer = Some(Rc::new(RefCell::new(started)));
        }
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
            store: store_callback(writer.clone()),
            apply: apply_callback(context.clone(), self.forwarder_number),
            on_event: Box::new(log_event),
            on_status: checkpoint_callback(writer),
            status,
            subscriber,
        };
        spawn_local(run_attachment(options));
        Ok(())
    }
}

impl StoredVersion {
    /// If the snapshot is no configuration, the error is logged and `None` returned.
    fn from_snapshot(snapshot: DecodedSnapshot) -> Option<Self> {
        match snapshot.state.configuration() {
            Ok(configuration) => Some(Self {
                snapshot,
                configuration,
            }),
            Err(error) => {
                let version = snapshot.version;
                tracing::warn!(event = "version_unreadable", version, why = %error);
                None
            }
        }
    }
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

/// Stores the pending version. Without a writer nothing is stored.
fn store_callback(writer: Option<Rc<RefCell<VersionWriter>>>) -> StoreCallback {
    Box::new(move |subscriber| {
        let written = writer
            .as_ref()
            .map(|writer| writer.borrow_mut().store(subscriber));
        Box::pin(async move {
            match written {
                Some(written) => written.await.map_err(StoreFailure).map_err(ApplyError::new),
                None => Ok(()),
            }
        })
    })
}

/// Makes checkpoints of the version in force in the background.
fn checkpoint_callback(writer: Option<Rc<RefCell<VersionWriter>>>) -> StatusCallback {
    Box::new(move |subscriber, phase| {
        let Some(writer) = &writer else { return };
        let version = subscriber.version();
        let begun = writer.borrow_mut().checkpoint_if_due(subscriber, phase);
        let Some(written) = begun else { return };
        spawn_local(async move {
            if let Err(error) = written.await {
                // The version itself is in the log already.
                tracing::warn!(event = "version_write_failed", version, why = %error);
            }
        });
    })
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
        failed_writes: status.counters.failed_writes,
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
        Event::Stored { version } => tracing::info!(event = "version_stored", version),
        Event::StoreFailed { version, reason } => {
            tracing::warn!(event = "version_write_failed", version, why = reason, holds);
        }
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
