//! What a result of a sweep is of: results of another schedule, build or set of options are not counted with it.

use crate::peers::hash;
use crate::process::program;
use rainstand_config::schema::Rig;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// What determines a run beside its seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlayIdentity {
    /// Name of the rig.
    pub rig: String,
    /// Digest of the rig, of which a seed makes its schedule.
    pub schedule: String,
    /// Digest of the testbed's and the node's programs.
    pub programs: String,
    /// The options that change a run; empty if there are none.
    pub options: String,
}

impl PlayIdentity {
    /// Of a rig as it is played, with the programs of a folder, or beside this one.
    ///
    /// # Errors
    /// If this program cannot be read. A node's program that is missing has the digest of no bytes.
    pub fn new(rig: &Rig, programs: Option<&Path>, options: String) -> io::Result<Self> {
        Ok(Self {
            rig: rig.name.clone(),
            schedule: hash(format!("{rig:?}").as_bytes()),
            programs: digest(&["rainstand-node"], programs)?,
            options,
        })
    }

    /// Of soaks, which have no rig: a seed alone makes what is played.
    ///
    /// # Errors
    /// If this program cannot be read.
    pub fn of_soak(
        seconds: Option<u64>,
        programs: Option<&Path>,
        options: String,
    ) -> io::Result<Self> {
        Ok(Self {
            rig: "soak".to_owned(),
            schedule: format!("{} s", seconds.unwrap_or_default()),
            programs: digest(&["rainstand-node", "rainstand"], programs)?,
            options,
        })
    }
}

/// Digest of this program and of others.
fn digest(names: &[&str], folder: Option<&Path>) -> io::Result<String> {
    let own: PathBuf = std::env::current_exe()?;
    let mut contents = fs::read(own)?;
    for name in names {
        if let Ok(path) = program(name, folder) {
            contents.extend(fs::read(path).unwrap_or_default());
        }
    }
    Ok(hash(&contents))
}

impl fmt::Display for PlayIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            rig,
            schedule,
            programs,
            options,
        } = self;
        write!(f, "rig {rig}, schedule {schedule}, programs {programs}")?;
        if options.is_empty() {
            return Ok(());
        }
        write!(f, ", {options}")
    }
}
