//! Which processes are restarted, how, and with how large a configuration.

use clap::{Args, ValueEnum};
use rainstand_test_servers::size::{Limited, Size};
use serde::Serialize;
use std::io;
use std::path::PathBuf;

/// Child processes of one run.
const MAX_CHILDREN: usize = 280;
/// Keys stored on the disks of the group.
const MAX_KEYS: usize = 100_000;
/// Tenants and routes: the limits of the configuration language.
const MAX_TENANTS: usize = 60_000;
const MAX_ROUTES: usize = 20_000;
/// Members of a group.
const MAX_GROUP: usize = 64;

/// What the announce service does during the restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Discovery {
    /// Answers each report.
    Up,
    /// Nobody listens there.
    Down,
    /// Takes connections and reports, and never answers.
    Silent,
}

/// How the old processes end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum StopMode {
    /// SIGKILL.
    #[value(help = None::<&str>)]
    Kill,
    /// SIGTERM, and a drain.
    #[value(help = None::<&str>)]
    Term,
}

/// In which form forwarders read their configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum ConfigFormat {
    /// The configuration language.
    #[value(help = None::<&str>)]
    Rain,
    /// The compiled form as text.
    #[value(help = None::<&str>)]
    Text,
    /// The compiled form as bytes.
    #[value(help = None::<&str>)]
    Binary,
}

/// Options of a run.
#[derive(Clone, Debug, Args, Serialize)]
#[command(about = None::<&str>)]
pub struct Options {
    /// Those in the group among them
    #[arg(long, default_value_t = 30)]
    pub nodes: usize,
    /// Forwarders.
    #[arg(long, default_value_t = 30, help = None::<&str>)]
    pub forwarders: usize,
    /// Tenants.
    #[arg(long, default_value_t = 23_000, help = None::<&str>)]
    pub tenants: usize,
    /// Routes.
    #[arg(long, default_value_t = 5_400, help = None::<&str>)]
    pub routes: usize,
    /// Limits `per: tenant` on each route, not only on tenants
    #[arg(long)]
    pub limits_on_routes: bool,
    /// What the announce service does during the restart.
    #[arg(long, value_enum, default_value = "up", help = None::<&str>)]
    pub discovery: Discovery,
    /// So many of the nodes form a group, with disks: 0, or 3 and more
    #[arg(long, default_value_t = 0)]
    pub group: usize,
    /// Keys on the group's disks before the restart
    #[arg(long, default_value_t = 4_000)]
    pub keys: usize,
    /// How the old processes end
    #[arg(long, value_enum, default_value = "kill")]
    pub end: StopMode,
    /// In which form forwarders read their configuration
    #[arg(long, value_enum, default_value = "rain")]
    pub form: ConfigFormat,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1, help = None::<&str>)]
    pub seed: u64,
    /// Where the programs lie, if not beside this one
    #[arg(long)]
    #[serde(skip)]
    pub programs: Option<PathBuf>,
}

impl Options {
    /// # Errors
    /// If a number is out of range; the error names the range.
    pub(super) fn check(&self) -> io::Result<()> {
        let invalid = |reason: String| Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
        if self.nodes == 0 || self.nodes * 2 + self.forwarders > MAX_CHILDREN {
            return invalid(format!(
                "at least 1 node, and at most {MAX_CHILDREN} processes in all, with one agent per node"
            ));
        }
        if !(1..=MAX_TENANTS).contains(&self.tenants) || !(1..=MAX_ROUTES).contains(&self.routes) {
            return invalid(format!(
                "1 to {MAX_TENANTS} tenants and 1 to {MAX_ROUTES} routes"
            ));
        }
        if matches!(self.group, 1 | 2) || self.group > self.nodes.min(MAX_GROUP) {
            return invalid(
                "a group has at least 3 members, and at most 64 or the number of nodes".into(),
            );
        }
        if self.keys > MAX_KEYS {
            return invalid(format!("at most {MAX_KEYS} keys"));
        }
        Ok(())
    }

    /// Size of the two-year configuration, scaled to the routes and tenants of the options. No pool has two members on
    /// the same node.
    pub(super) fn size(&self) -> Size {
        let full_size = Size::two_years();
        let scale_down = |count: usize| (count * self.routes / full_size.routes).clamp(1, count);
        let (services, pools) = (scale_down(full_size.services), scale_down(full_size.pools));
        let members = full_size.members.min(pools * self.nodes);
        let limits = if self.limits_on_routes {
            Limited::PerTenantOnRoutes
        } else {
            Limited::Tenants
        };
        Size {
            services,
            pools,
            members,
            limits,
            routes: self.routes,
            tenants: self.tenants,
            ..full_size
        }
    }
}
