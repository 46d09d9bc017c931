//! What is restarted, how, and in which size.

use clap::{Args, ValueEnum};
use rainstand_test_servers::size::{Limited, Size};
use serde::Serialize;
use std::io;
use std::path::PathBuf;

/// Children of one run at most.
const CHILDREN_MOST: usize = 280;

const KEYS_MOST: usize = 100_000;

/// Tenants, routes: what the language has room for.
const TENANTS_MOST: usize = 60_000;

const ROUTES_MOST: usize = 20_000;

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
pub enum End {
    Kill,
    Term,
}

/// In which form forwarders read their configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    Rain,
    Text,
    Binary,
}

#[derive(Clone, Debug, Args, Serialize)]
pub struct Options {
    /// Those in the group among them
    #[arg(long, default_value_t = 30)]
    pub nodes: usize,
    #[arg(long, default_value_t = 30)]
    pub forwarders: usize,
    #[arg(long, default_value_t = 23_000)]
    pub tenants: usize,
    #[arg(long, default_value_t = 5_400)]
    pub routes: usize,
    /// Limits `per: tenant` on each route, not only on tenants
    #[arg(long)]
    pub limits_on_routes: bool,
    #[arg(long, value_enum, default_value = "up")]
    pub discovery: Discovery,
    /// So many of the nodes form a group, with disks: 0, or 3 and more
    #[arg(long, default_value_t = 0)]
    pub group: usize,
    /// Keys on the group's disks before the restart
    #[arg(long, default_value_t = 4_000)]
    pub keys: usize,
    /// How the old processes end
    #[arg(long, value_enum, default_value = "kill")]
    pub end: End,
    /// In which form forwarders read their configuration
    #[arg(long, value_enum, default_value = "rain")]
    pub form: Form,
    #[arg(long, default_value_t = 1)]
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
        if self.nodes == 0 || self.nodes * 2 + self.forwarders > CHILDREN_MOST {
            return refused(format!(
                "each node has an agent: 1 to {CHILDREN_MOST} processes"
            ));
        }
        if !(1..=TENANTS_MOST).contains(&self.tenants) || !(1..=ROUTES_MOST).contains(&self.routes)
        {
            return refused(format!(
                "1 to {TENANTS_MOST} tenants and 1 to {ROUTES_MOST} routes"
            ));
        }
        if matches!(self.group, 1 | 2) || self.group > self.nodes.min(64) {
            return refused("a group has 3 members or more, at most all nodes and 64".into());
        }
        if self.keys > KEYS_MOST {
            return refused(format!("at most {KEYS_MOST} keys"));
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
