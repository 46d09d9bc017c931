//! Identifies the runs of a sweep: results of another schedule, build or set of options are not counted.

use crate::peers::hash;
use crate::process::program;
use rainstand_config::schema::Rig;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// What determines a run besides its seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunIdentity {
    /// Name of the rig.
    pub rig: String,
    /// Digest of the rig, from which a seed derives its schedule.
    pub schedule: String,
    /// Digest of the testbed's and the node's programs.
    pub programs: String,
    /// Options that change a run; empty if there are none.
    pub options: String,
}

impl RunIdentity {
    /// Identity of the runs of a rig, with the programs in `programs` or in the folder of the current executable.
    ///
    /// # Errors
    /// If the current executable cannot be read. A missing node program counts as empty.
    pub fn new(rig: &Rig, programs: Option<&Path>, options: String) -> io::Result<Self> {
        Ok(Self {
            rig: rig.name.clone(),
            schedule: hash(format!("{rig:?}").as_bytes()),
            programs: digest(&["rainstand-node"], programs)?,
            options,
        })
    }

    /// Identity of soaks, which have no rig: the seed alone determines the run.
    ///
    /// # Errors
    /// If the current executable cannot be read.
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

/// Digest of the current executable and the named programs.
fn digest(names: &[&str], folder: Option<&Path>) -> io::Result<String> {
    let executable: PathBuf = std::env::current_exe()?;
    let mut contents = fs::read(executable)?;
    for name in names {
        if let Ok(path) = program(name, folder) {
            contents.extend(fs::read(path).unwrap_or_default());
        }
    }
    Ok(hash(&contents))
}

impl fmt::Display for RunIdentity {
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
