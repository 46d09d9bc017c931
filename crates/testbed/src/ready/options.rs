//! What is restarted, how, and in which size.

use clap::{Args, ValueEnum};
use rainstand_test_servers::size::{Limited, Size};
use serde::Serialize;
use std::io;
use std::path::PathBuf;

/// Processes of one run.
const MAX_CHILDREN: usize = 280;
/// Keys on the disks of the group.
const MAX_KEYS: usize = 100_000;
/// Tenants and routes: the capacity of the language.
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
    /// The language of the pages.
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
    /// Of all that is drawn.
    #[arg(long, default_value_t = 1, help = None::<&str>)]
    pub seed: u64,
    /// Where the programs lie, if not beside this one
    #[arg(long)]
    #[serde(skip)]
    pub programs: Option<PathBuf>,
}

impl Options {
    /// # Errors
    /// What there is too many or too few of.
    pub(super) fn check(&self) -> io::Result<()> {
        let refused = |why: String| Err(io::Error::new(io::ErrorKind::InvalidInput, why));
        if self.nodes == 0 || self.nodes * 2 + self.forwarders > MAX_CHILDREN {
            return refused(format!(
                "each node has an agent: 1 to {MAX_CHILDREN} processes"
            ));
        }
        if !(1..=MAX_TENANTS).contains(&self.tenants) || !(1..=MAX_ROUTES).contains(&self.routes) {
            return refused(format!(
                "1 to {MAX_TENANTS} tenants and 1 to {MAX_ROUTES} routes"
            ));
        }
        if matches!(self.group, 1 | 2) || self.group > self.nodes.min(MAX_GROUP) {
            return refused("a group has 3 members or more, at most all nodes and 64".into());
        }
        if self.keys > MAX_KEYS {
            return refused(format!("at most {MAX_KEYS} keys"));
        }
        Ok(())
    }

    /// The shape of two years with the routes and tenants asked for. No pool has two members at one node.
    pub(super) fn size(&self) -> Size {
        let whole = Size::two_years();
        let part = |of: usize| (of * self.routes / whole.routes).clamp(1, of);
        let (services, pools) = (part(whole.services), part(whole.pools));
        let members = whole.members.min(pools * self.nodes);
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
            ..whole
        }
    }
}
