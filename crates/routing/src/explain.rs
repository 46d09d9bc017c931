//! Explains the routing of a request: each route in order, and the part of its match that excluded the request.

use crate::table::{PlacementReason, Request, RoutingError, Table};
use nanorand::WyRand;
use rainstand_config::matching::Mismatch;

/// One route that was considered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteStep {
    /// Its name.
    pub route: String,
    /// What excludes the request; `None`: the route takes it.
    pub miss: Option<Mismatch>,
    /// What the route requires there, in the words of the configuration.
    pub wanted: String,
}

/// Where a request is routed to, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The routes up to the one that takes the request.
    pub steps: Vec<RouteStep>,
    /// The name of the pool and why it was chosen, or why there is none.
    pub placement: Result<(String, PlacementReason), RoutingError>,
    /// The member that the entity belongs to; none without an entity, or if none can be used.
    pub member: Option<String>,
    /// Limits that count the request: where, and their name.
    pub limits: Vec<(String, String)>,
}

/// Explains the routing of a request. `pool_out` and `member_out`: what cannot be used, by name; a member counts in
/// every pool that has it.
pub fn explain(
    table: &Table,
    request: &Request<'_>,
    seed: u64,
    pool_out: impl Fn(&str) -> bool,
    member_out: impl Fn(&str) -> bool,
) -> Explanation {
    let configuration = table.configuration();
    let usable = |pool: u16| {
        let pool = &configuration.pools[usize::from(pool)];
        !pool_out(&pool.name) && pool.members.iter().any(|member| !member_out(&member.name))
    };
    let place = table.place(request, &mut WyRand::new_seed(seed), usable);
    let last = match place {
        Ok(place) => Some(place.route),
        Err(RoutingError::NoPool(route)) => Some(route),
        Err(RoutingError::NoRoute) => None,
    };
    let asked = last.map_or(table.routes.len(), |last| usize::from(last) + 1);
    let steps = (0..asked as u16).map(|at| {
        let miss = table.mismatch(at, request);
        RouteStep {
            route: table.route_name(at).to_owned(),
            miss,
            wanted: wants(table, at, miss),
        }
    });
    let mut limits = Vec::new();
    let mut add = |at: String, of: Option<u16>| {
        limits.extend(of.map(|of| (at, configuration.limits[usize::from(of)].name.clone())));
    };
    let traffic = usize::from(request.request_class);
    add(
        format!("type {}", configuration.types[traffic].name),
        table.type_limits[traffic],
    );
    if let Some(tenant) = request.tenant.map(usize::from) {
        add(
            format!("tenant {}", configuration.tenants[tenant].name),
            table.tenant_limits[tenant],
        );
    }
    let mut member = None;
    if let Ok(place) = place {
        let (route, pool) = (usize::from(place.route), usize::from(place.pool));
        add(
            format!("route {}", table.routes[route].name),
            table.routes[route].limits,
        );
        add(
            format!("pool {}", table.pools[pool].name),
            table.pools[pool].limits,
        );
        let members = &configuration.pools[pool].members;
        if !request.entity.is_empty() {
            let chosen = table.member(place.pool, request.entity, |k| {
                !member_out(&members[k].name)
            });
            member = chosen.map(|k| members[k].name.clone());
        }
    }
    Explanation {
        steps: steps.collect(),
        placement: place.map(|place| (table.pool_name(place.pool).to_owned(), place.by)),
        member,
        limits,
    }
}

fn wants(table: &Table, route: u16, miss: Option<Mismatch>) -> String {
    let Some(matched) = &table.configuration().routes[usize::from(route)].r#match else {
        return String::new();
    };
    match miss {
        None => String::new(),
        Some(Mismatch::Type) => matched.types.join(", "),
        Some(Mismatch::Tenant) => matched.tenants.join(", "),
        Some(Mismatch::Entity) => matched.entities.join(", "),
        Some(Mismatch::Again) => match matched.again() {
            rainstand_config::schema::Again::FurtherTries => "yes".into(),
            _ => "no".into(),
        },
        Some(Mismatch::Size) => {
            let shown = |bytes: u64| {
                if bytes == 0 {
                    String::new()
                } else {
                    rainstand_config::units::size(bytes)
                }
            };
            format!(
                "{} .. {}",
                shown(matched.size_least),
                shown(matched.size_most)
            )
            .trim()
            .to_owned()
        }
    }
}
