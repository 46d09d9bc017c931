//! A forwarder's attachment to control machines: whom it asks, how a version comes into force, what it keeps of it.

use crate::config::replace;
use clap::Args;
use rainstand_cluster::attachment::{
    run_attachment, AttachmentEvent, AttachmentOptions, AttachmentStatus,
};
use rainstand_config::schema::{Configuration, Control, ControlMember};
use rainstand_config_distribution::attachment::NodeIdentity;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::snapshot;
use rainstand_config_distribution::subscriber::{Event, PendingUpdate, Subscriber};
use rainstand_forwarder::admin::ControlLine;
use rainstand_forwarder::config_updates::table_changes;
use rainstand_forwarder::Hub;
use rainstand_routing::subset::reduce;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_blocking, spawn_local};

/// Where the last version is kept, in its folder.
const FILE: &str = "version.packed";
/// Between two writes of it: all of it is packed each time, beside the thread that serves.
const KEEP: Duration = Duration::from_secs(10);

#[derive(Args, Clone, Default)]
#[group(id = "attachment")]
pub struct Options {
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

/// Whom a process asks.
pub struct Plan {
    who: NodeIdentity,
    machines: Vec<ControlMember>,
    folder: Option<PathBuf>,
    number: usize,
    seed: u64,
}

/// A version that was in force before this start.
pub type Last = (u64, ConfigState);

impl Options {
    /// None where nothing names a control machine.
    ///
    /// # Errors
    /// If there are some and this process has no name.
    pub fn plan(
        &self,
        block: Option<&Control>,
        zone: &str,
        number: usize,
        seed: u64,
    ) -> Result<Option<Plan>, String> {
        let named = |address: &SocketAddr| ControlMember {
            name: address.to_string(),
            address: address.to_string(),
            ..ControlMember::default()
        };
        let machines: Vec<ControlMember> = match block {
            _ if !self.control.is_empty() => self.control.iter().map(named).collect(),
            Some(block) => block.members.clone(),
            None => return Ok(None),
        };
        if self.name.is_empty() {
            return Err("with control machines, `--name` says which process this is".to_owned());
        }
        let folder = block
            .map(|block| &block.folder)
            .filter(|folder| !folder.is_empty());
        let folder = self.control_folder.clone().or(folder.map(PathBuf::from));
        let who = NodeIdentity {
            name: self.name.clone(),
            region: self.region.clone(),
            zone: zone.to_owned(),
        };
        Ok(Some(Plan {
            who,
            machines,
            folder,
            number,
            seed,
        }))
    }
}

impl Plan {
    /// The last version that was kept, and as the configuration to begin with. What cannot be read is told and left.
    pub fn last(&self) -> Option<(Last, Configuration)> {
        let path = self.folder.as_ref()?.join(FILE);
        let read = match std::fs::read(&path) {
            Ok(read) => read,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => {
                tracing::warn!(event = "version_unread", file = %path.display(), why = %error);
                return None;
            }
        };
        let whole = snapshot::decode(&read).and_then(|last| {
            let configuration = last.state.configuration()?;
            Ok(((last.version, last.state), configuration))
        });
        match whole {
            Ok(whole) => Some(whole),
            Err(why) => {
                tracing::warn!(event = "version_unread", file = %path.display(), why = %why);
                None
            }
        }
    }

    /// Keeps the attachment from now on.
    pub fn begin(self, hub: &Rc<Hub>, last: Option<Last>) {
        let seen = Rc::new(RefCell::new(AttachmentStatus::default()));
        let subscriber = match last {
            Some((version, state)) => {
                Subscriber::with_version(Duration::ZERO, self.who.clone(), version, state)
            }
            None => Subscriber::new(Duration::ZERO, self.who.clone()),
        };
        {
            let mut seen = seen.borrow_mut();
            (seen.version, seen.digest) = (subscriber.version(), subscriber.state().digest());
        }
        let (told, since) = (seen.clone(), Instant::now());
        hub.control
            .replace(Some(Box::new(move || line(&told.borrow(), since))));
        let (taker, number) = (hub.clone(), self.number);
        let take = move |subscriber: &Subscriber| -> Result<(), String> {
            if let Some(PendingUpdate::Delta(delta)) = subscriber.pending() {
                // At the cost of what it says. A first one, from nothing, is a whole.
                if subscriber.version() > 0 {
                    let changes = table_changes(subscriber.state(), delta, number)
                        .map_err(|why| why.to_string())?;
                    match taker.apply(&changes) {
                        Ok(_) => return Ok(()),
                        Err(why) => {
                            tracing::warn!(event = "version_as_whole", version = delta.to, why = %why)
                        }
                    }
                }
            }
            let mut configuration = pending(subscriber)?;
            reduce(&mut configuration, number);
            taker.replace(configuration).map(drop)
        };
        let (folder, mut kept, mut at) = (self.folder, subscriber.version(), None::<Instant>);
        let busy = Rc::new(Cell::new(false));
        let look = move |subscriber: &Subscriber, lost: bool| {
            let Some(folder) = &folder else { return };
            let (version, early) = (
                subscriber.version(),
                at.is_some_and(|at| at.elapsed() < KEEP),
            );
            if version == kept || early && !lost || busy.get() {
                return;
            }
            (kept, at) = (version, Some(Instant::now()));
            busy.set(true);
            let (state, path, busy) = (subscriber.state().clone(), folder.join(FILE), busy.clone());
            spawn_local(async move {
                let written = spawn_blocking(move || write(&path, version, &state)).await;
                busy.set(false);
                if let Err(why) = written.unwrap_or_else(|why| Err(why.to_string())) {
                    tracing::warn!(event = "version_not_kept", version, why = %why);
                }
            });
        };
        let setup = AttachmentOptions {
            who: self.who,
            machines: self.machines,
            subscriber,
            seed: self.seed,
            take: Box::new(take),
            tell: Box::new(tell),
            look: Box::new(look),
            seen,
        };
        spawn_local(run_attachment(setup));
    }
}

/// What is to come into force, whole.
fn pending(subscriber: &Subscriber) -> Result<Configuration, String> {
    let whole = match subscriber.pending() {
        Some(PendingUpdate::Snapshot { state, .. }) => state.configuration(),
        Some(PendingUpdate::Delta(delta)) => {
            let mut state = subscriber.state().clone();
            state.apply(delta).and_then(|()| state.configuration())
        }
        None => return Err("nothing is pending".to_owned()),
    };
    whole.map_err(|why| why.to_string())
}

fn write(path: &Path, version: u64, state: &ConfigState) -> Result<(), String> {
    let packed = snapshot::encode(version, state).map_err(|why| why.to_string())?;
    replace(path, &packed).map_err(|error| error.to_string())
}

fn line(seen: &AttachmentStatus, since: Instant) -> ControlLine {
    let age = seen.newest.unwrap_or(since).elapsed();
    ControlLine {
        version: seen.version,
        digest: format!("{:016x}", seen.digest),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        machine: seen.machine.clone(),
        refused: seen.refused.clone(),
        attachments: seen.attachments,
        lost: seen.lost,
        dials: seen.dials,
        in_force: seen.counters.applied,
        refusals: seen.counters.nacks,
        differs: seen.counters.divergences,
        bytes_in: seen.counters.bytes_in,
        bytes_out: seen.counters.bytes_out,
    }
}

fn tell(news: &AttachmentEvent, subscriber: &Subscriber) {
    let holds = subscriber.version();
    match news {
        AttachmentEvent::Attached { machine } => {
            tracing::info!(event = "attached", machine, version = holds)
        }
        AttachmentEvent::Lost { machine, why } => {
            tracing::warn!(event = "attachment_lost", machine, why, version = holds)
        }
        AttachmentEvent::Version(Event::Applied { version }) => {
            let digest = format!("{:016x}", subscriber.state().digest());
            tracing::info!(event = "version_in_force", version, digest);
        }
        AttachmentEvent::Version(Event::Rejected { version, reason }) => {
            tracing::warn!(event = "version_refused", version, why = reason, holds);
        }
        AttachmentEvent::Version(Event::Diverged { version, reason }) => {
            tracing::error!(event = "version_differs", version, why = %reason, holds);
        }
        AttachmentEvent::Version(Event::Gap { current, from }) => {
            tracing::warn!(event = "version_gap", from, holds = current)
        }
        AttachmentEvent::Version(Event::Malformed) => {
            tracing::warn!(event = "control_unreadable", holds)
        }
    }
}
