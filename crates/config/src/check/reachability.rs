//! Routes that no ticket reaches, and tickets that reach no route.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::Sort;
use crate::space::{covers, first_match, miss, Earlier, Point, Points};

/// Points tried for one question; past it the question is left open.
const MOST_POINTS: usize = 20_000;

impl Checker<'_, '_, '_> {
    pub(super) fn hidden_routes(&mut self) {
        let all = self.all;
        let types = all.types.len();
        let points = Points::of(&[all]);
        let few = self.resolved.unsure.is_empty()
            && points.count() <= MOST_POINTS
            && all.routes.len() <= 200;
        let mut earlier = Earlier::new(types);
        let unsure = &self.resolved.unsure;
        for (k, route) in all
            .routes
            .iter()
            .enumerate()
            .filter(|(k, _)| !unsure.contains(k))
        {
            let matched = route.r#match.as_ref();
            let by = earlier
                .candidates(matched)
                .filter(|before| covers(all.routes[*before].r#match.as_ref(), matched, types))
                .min();
            if let Some(by) = by {
                self.hidden_by(k, by);
            } else if few {
                self.hidden_by_several(k, &points);
            }
            earlier.add(k, matched);
        }
        if earlier.budget == 0 {
            let at = self.block(Sort::Route, all.routes.len() - 1).at();
            let words = "too many routes to compare all of them: some may be hidden".to_owned();
            self.tell(Code::TooManyRoutes, at, words);
        }
    }

    pub(super) fn hidden_by(&mut self, k: usize, by: usize) {
        let name = shorten(&self.all.routes[k].name);
        let words = format!("no ticket reaches `{name}`: an earlier route takes all of them");
        let other = self.block(Sort::Route, by).at();
        let at = self.block(Sort::Route, k).at();
        self.tell(Code::Hidden, at, words)
            .also
            .push((other, "this one".into()));
    }

    /// No single route takes all of it, but some together may.
    pub(super) fn hidden_by_several(&mut self, k: usize, points: &Points) {
        let all = self.all;
        let route = &all.routes[k];
        let mut by = Vec::new();
        for point in points
            .each()
            .filter(|point| miss(route.r#match.as_ref(), point).is_none())
        {
            match first_match(&all.routes[..k], &point) {
                Some(first) => by.push(first),
                None => return,
            }
        }
        by.sort_unstable();
        by.dedup();
        if by.is_empty() {
            return;
        }
        if let [only] = by[..] {
            self.hidden_by(k, only);
            return;
        }
        let words = format!(
            "no ticket reaches `{}`: {} earlier routes together take all of them",
            shorten(&route.name),
            by.len()
        );
        let others: Vec<_> = by
            .iter()
            .take(4)
            .map(|at| (self.block(Sort::Route, *at).at(), "one of them".to_owned()))
            .collect();
        let at = self.block(Sort::Route, k).at();
        self.tell(Code::Hidden, at, words).also = others;
    }

    pub(super) fn tickets_without_route(&mut self) {
        let all = self.all;
        if all.types.is_empty() || all.routes.iter().any(|route| route.r#match.is_none()) {
            return;
        }
        // Types that experiments use need no route.
        if all.routes.is_empty() && all.pools.is_empty() && !all.experiments.is_empty() {
            return;
        }
        let points = Points::of(&[all]);
        if points.count().saturating_mul(all.routes.len().max(1)) > MOST_POINTS * 200 {
            return;
        }
        let mut left: Vec<(usize, Point<'_>)> = Vec::new();
        for (k, one) in all.types.iter().enumerate() {
            // Tenants that are not named may be meant to have no route.
            let named = points
                .tenants()
                .iter()
                .filter(|name| !name.is_empty() || all.tenants.is_empty());
            let mut tickets = named.flat_map(|tenant| points.of_pair(&one.name, tenant));
            left.extend(
                tickets
                    .find(|point| first_match(&all.routes, point).is_none())
                    .map(|point| (k, point)),
            );
        }
        for (k, point) in left {
            let mut words = format!(
                "some tickets of `{}` reach no route",
                shorten(&all.types[k].name)
            );
            let mut such = Vec::new();
            if !point.tenant.is_empty()
                && all
                    .routes
                    .iter()
                    .any(|r| r.r#match.as_ref().is_some_and(|m| !m.tenants.is_empty()))
            {
                such.push(format!("of `{}`", shorten(point.tenant)));
            }
            if point.again {
                such.push("further tries".into());
            }
            if !such.is_empty() {
                words.push_str(&format!(", such as {}", such.join(", ")));
            }
            let at = self.block(Sort::Type, k).at();
            let finding = self.tell(Code::NoRoute, at, words);
            finding.help = Some("a last route without `match` takes what is left".into());
        }
    }
}
