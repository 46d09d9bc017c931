//! `rainstand config explain`: shows which route takes a request, and why the routes before it don't.

use crate::config_file::read;
use crate::error::{CommandError, CommandResult};
use crate::output::{self, ExitStatus};
use clap::Args;
use rainstand_config::matching::Mismatch;
use rainstand_config::schema::Configuration;
use rainstand_routing::explain::{explain, Explanation};
use rainstand_routing::table::{PlacementReason, Request, RoutingError, Table};
use rainstand_routing::time_budget::{Stage, Times};
use serde_json::{json, Value};
use std::io;
use std::time::Duration;

/// The stages in the order in which a request passes them.
const STAGES: [Stage; 5] = [
    Stage::Forward,
    Stage::Queue,
    Stage::Run,
    Stage::Call,
    Stage::Answer,
];

#[derive(Args)]
pub(crate) struct Options {
    file: String,
    /// Traffic type
    #[arg(long = "type")]
    traffic: String,
    /// Tenant; one that the configuration does not name is asked for by leaving it out
    #[arg(long)]
    tenant: Option<String>,
    /// What the ticket is about
    #[arg(long, default_value = "")]
    entity: String,
    /// A further try
    #[arg(long)]
    again: bool,
    /// Bytes
    #[arg(long, default_value_t = 0)]
    size: u64,
    /// Members that cannot be used, by name
    #[arg(long, value_delimiter = ',')]
    members_out: Vec<String>,
    /// Pools that cannot be used, by name
    #[arg(long, value_delimiter = ',')]
    pools_out: Vec<String>,
    /// For splits by chance
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long)]
    json: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let configuration = read(&options.file, options.json)?.configuration;
    let table = Table::new(&configuration)
        .map_err(|error| CommandError::unusable(&options.file, error.to_string()))?;
    let names = Names {
        file: &options.file,
        configuration: &configuration,
        table: &table,
    };
    let request = names.request(options)?;
    names.check_excluded(options)?;
    let is_pool_out = |name: &str| options.pools_out.iter().any(|out| out == name);
    let is_member_out = |name: &str| options.members_out.iter().any(|out| out == name);
    let explanation = explain(&table, &request, options.seed, is_pool_out, is_member_out);
    if options.json {
        print_json(&explanation)?;
    } else {
        print_text(&explanation)?;
        if let Some(times) = budget_times(&configuration, &table, &request, &explanation) {
            print_stages(&times)?;
        }
    }
    Ok(if explanation.placement.is_ok() {
        ExitStatus::Success
    } else {
        ExitStatus::Found
    })
}

/// Looks up the names that the options refer to.
struct Names<'a> {
    file: &'a str,
    configuration: &'a Configuration,
    table: &'a Table,
}

impl Names<'_> {
    /// The request that the options describe.
    fn request<'o>(&self, options: &'o Options) -> Result<Request<'o>, CommandError> {
        let request_class = self
            .table
            .request_class(&options.traffic)
            .ok_or_else(|| self.unknown("type", &options.traffic, &self.types()))?;
        let tenant = match &options.tenant {
            Some(name) => Some(
                self.table
                    .tenant(name)
                    .ok_or_else(|| self.unknown("tenant", name, &self.tenants()))?,
            ),
            None => None,
        };
        Ok(Request {
            request_class,
            tenant,
            entity: &options.entity,
            is_retry: options.again,
            size: options.size,
            ..Request::default()
        })
    }

    /// Checks that the excluded pools and members exist.
    fn check_excluded(&self, options: &Options) -> Result<(), CommandError> {
        let mut pools = options.pools_out.iter();
        if let Some(name) = pools.find(|name| self.table.pool(name).is_none()) {
            return Err(self.unknown("pool", name, &self.pools()));
        }
        let known = self.members();
        let mut members = options.members_out.iter();
        match members.find(|name| !known.contains(&name.as_str())) {
            Some(name) => Err(self.unknown("member", name, &known)),
            None => Ok(()),
        }
    }

    fn types(&self) -> Vec<&str> {
        let types = &self.configuration.types;
        types.iter().map(|class| &*class.name).collect()
    }

    fn tenants(&self) -> Vec<&str> {
        let tenants = &self.configuration.tenants;
        tenants.iter().map(|tenant| &*tenant.name).collect()
    }

    fn pools(&self) -> Vec<&str> {
        let pools = &self.configuration.pools;
        pools.iter().map(|pool| &*pool.name).collect()
    }

    fn members(&self) -> Vec<&str> {
        let pools = &self.configuration.pools;
        let members = pools.iter().flat_map(|pool| &pool.members);
        members.map(|member| &*member.name).collect()
    }

    fn unknown(&self, kind: &str, name: &str, known: &[&str]) -> CommandError {
        let known = if known.is_empty() {
            "none".to_owned()
        } else {
            known.join(", ")
        };
        CommandError::unusable(
            self.file,
            format!("there is no {kind} `{name}`; there are: {known}"),
        )
    }
}

/// The time budget of the route that takes the request, if it has one.
fn budget_times(
    configuration: &Configuration,
    table: &Table,
    request: &Request,
    explanation: &Explanation,
) -> Option<Times> {
    explanation.placement.as_ref().ok()?;
    // The steps end with the route that takes the request.
    let route = explanation.steps.len().checked_sub(1)?;
    let has_budget = *configuration.routes[route].budget != *"";
    has_budget.then(|| table.times(route as u16, request.request_class))
}

fn print_stages(times: &Times) -> io::Result<()> {
    let deadlines = STAGES.map(|stage| {
        let left = times.left(stage, Duration::ZERO);
        let name = format!("{stage:?}").to_lowercase();
        format!("{name} by {left:?}")
    });
    output::line(&format!("  stages over: {}", deadlines.join(", ")))
}

fn placement_text(reason: PlacementReason) -> String {
    match reason {
        PlacementReason::Share => "its share".into(),
        PlacementReason::OtherShare => {
            "the pool of its share is out; another of the split takes it".into()
        }
        PlacementReason::Fallback(position) => format!("fall-back {} of the route", position + 1),
        PlacementReason::PoolFallback => "what a pool of the route falls back on".into(),
    }
}

fn print_text(explanation: &Explanation) -> io::Result<()> {
    for step in &explanation.steps {
        output::line(&match step.miss {
            Some(miss) => format!("- {}: `{}` wants {}", step.route, miss.key(), step.wanted),
            None => format!("* {}: takes it", step.route),
        })?;
    }
    let (pool, reason) = match &explanation.placement {
        Ok(placement) => placement,
        Err(RoutingError::NoRoute) => return output::line("  no route takes it: dismissed"),
        Err(RoutingError::NoPool(_)) => {
            return output::line("  none of the route's pools can be used: dismissed");
        }
    };
    let reason = placement_text(*reason);
    output::line(&format!("  goes to the pool {pool} ({reason})"))?;
    if let Some(member) = &explanation.member {
        output::line(&format!("  its entity belongs to the member {member}"))?;
    }
    for (place, limits) in &explanation.limits {
        output::line(&format!("  counted by the limits {limits} of {place}"))?;
    }
    Ok(())
}

fn print_json(explanation: &Explanation) -> io::Result<()> {
    for step in &explanation.steps {
        let missed = step.miss.map(Mismatch::key);
        output::json(
            &json!({"route": step.route, "takes": missed.is_none(), "missed": missed, "wants": step.wanted}),
        )?;
    }
    output::json(&placement_json(explanation))
}

fn placement_json(explanation: &Explanation) -> Value {
    let (pool, reason) = match &explanation.placement {
        Ok(placement) => placement,
        Err(RoutingError::NoRoute) => return json!({"goes": false, "why": "no route"}),
        Err(RoutingError::NoPool(_)) => {
            return json!({"goes": false, "why": "no pool can be used"});
        }
    };
    let limits: Vec<Value> = explanation
        .limits
        .iter()
        .map(|(place, limits)| json!({"at": place, "limits": limits}))
        .collect();
    let reason = placement_text(*reason);
    json!({"goes": true, "pool": pool, "by": reason, "member": explanation.member, "limits": limits})
}
