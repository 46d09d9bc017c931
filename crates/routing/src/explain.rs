//! Explains the routing of a request: each route in order, and the condition of its match that excluded the request.

use crate::table::{PlacementReason, Request, RoutingError, Table};
use nanorand::WyRand;
use rainstand_config::matching::Mismatch;

/// One route that was considered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteStep {
    /// Its name.
    pub route: String,
    /// The condition that excludes the request; `None` if the route matches.
    pub miss: Option<Mismatch>,
    /// The values that this condition requires, as written in the configuration.
    pub wanted: String,
}

/// Where a request is routed to, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The routes up to the first that matches the request.
    pub steps: Vec<RouteStep>,
    /// The name of the pool and why it was chosen, or why there is none.
    pub placement: Result<(String, PlacementReason), RoutingError>,
    /// The member that the entity is assigned to; `None` without an entity or a usable member.
    pub member: Option<String>,
    /// Limits that count the request: the scope with its name, and the name of the limits.
    pub limits: Vec<(String, String)>,
}

/// Explains the routing of a request. `pool_out` and `member_out` return whether a pool or member, given by name, is
/// unusable; a member is unusable in every pool that contains it.
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
    let considered = last.map_or(table.routes.len(), |last| usize::from(last) + 1);
    let steps = (0..considered as u16).map(|route| {
        let miss = table.mismatch(route, request);
        RouteStep {
            route: table.route_name(route).to_owned(),
            miss,
            wanted: required_values(table, route, miss),
        }
    });
    let mut limits = Vec::new();
    let mut add = |scope: String, index: Option<u16>| {
        limits.extend(index.map(|k| (scope, configuration.limits[usize::from(k)].name.clone())));
    };
    let class = usize::from(request.request_class);
    add(
        format!("type {}", configuration.types[class].name),
        table.type_limits[class],
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

/// The values that the condition `miss` of a route's match requires, as written in the configuration.
fn required_values(table: &Table, route: u16, miss: Option<Mismatch>) -> String {
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
            let format_size = |bytes: u64| {
                if bytes == 0 {
                    String::new()
                } else {
                    rainstand_config::units::size(bytes)
                }
            };
            format!(
                "{} .. {}",
                format_size(matched.size_least),
                format_size(matched.size_most)
            )
            .trim()
            .to_owned()
        }
    }
}
