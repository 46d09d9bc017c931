//! Routes that no request reaches, and requests that reach no route.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::matching::{covers, first_match, first_mismatch, EarlierRoutes, Sample, Samples};
use crate::resolve::BlockKind;
use crate::schema::{Configuration, TrafficType};
use crate::Label;

/// Samples that are tried for one route; with more the question is left open.
const MAX_SAMPLES: usize = 20_000;
/// Routes that are tried for each sample.
const MAX_ROUTES: usize = 200;
/// Routes that are shown of those that hide another one together.
const MAX_LABELS: usize = 4;

impl Checker<'_, '_, '_> {
    pub(super) fn check_hidden_routes(&mut self) {
        let all = self.all;
        let types = all.types.len();
        let uncertain = &self.resolved.uncertain_routes;
        let samples = Samples::of(&[all]);
        let may_try_samples = uncertain.is_empty()
            && samples.count() <= MAX_SAMPLES
            && all.routes.len() <= MAX_ROUTES;
        let mut earlier = EarlierRoutes::new(types);
        for (index, route) in all.routes.iter().enumerate() {
            if uncertain.contains(&index) {
                continue;
            }
            let matched = route.r#match.as_ref();
            let hides =
                |before: &usize| covers(all.routes[*before].r#match.as_ref(), matched, types);
            let hidden_by = earlier.candidates(matched).filter(hides).min();
            if let Some(by) = hidden_by {
                self.report_hidden(index, by);
            } else if may_try_samples {
                self.check_hidden_by_several(index, &samples);
            }
            earlier.add(index, matched);
        }
        if earlier.budget() == 0 {
            let span = self.block(BlockKind::Route, all.routes.len() - 1).span();
            let message = "too many routes to compare all of them: some may be hidden";
            self.report(Code::TooManyRoutes, span, message);
        }
    }

    fn report_hidden(&mut self, index: usize, by: usize) {
        let name = shorten(&self.all.routes[index].name);
        let message = format!("no ticket reaches `{name}`: an earlier route takes all of them");
        let by_span = self.block(BlockKind::Route, by).span();
        let span = self.block(BlockKind::Route, index).span();
        self.report(Code::Hidden, span, message)
            .add_label(by_span, "this one");
    }

    /// No single route takes all of its requests, but some together may.
    fn check_hidden_by_several(&mut self, index: usize, samples: &Samples) {
        let routes = &self.all.routes;
        let matched = routes[index].r#match.as_ref();
        let mut by = Vec::new();
        for sample in samples.each() {
            if first_mismatch(matched, &sample).is_some() {
                continue;
            }
            match first_match(&routes[..index], &sample) {
                Some(first) => by.push(first),
                None => return,
            }
        }
        by.sort_unstable();
        by.dedup();
        match by[..] {
            [] => {}
            [only] => self.report_hidden(index, only),
            _ => self.report_hidden_by_several(index, &by),
        }
    }

    fn report_hidden_by_several(&mut self, index: usize, by: &[usize]) {
        let message = format!(
            "no ticket reaches `{}`: {} earlier routes together take all of them",
            shorten(&self.all.routes[index].name),
            by.len()
        );
        let shown = by.iter().take(MAX_LABELS);
        let labels = shown.map(|by| Label {
            span: self.block(BlockKind::Route, *by).span(),
            message: "one of them".to_owned(),
        });
        let labels = labels.collect();
        let span = self.block(BlockKind::Route, index).span();
        self.report(Code::Hidden, span, message).labels = labels;
    }

    pub(super) fn check_unrouted_types(&mut self) {
        let all = self.all;
        let takes_all = all.routes.iter().any(|route| route.r#match.is_none());
        // Types that experiments use need no route.
        let is_experiment =
            all.routes.is_empty() && all.pools.is_empty() && !all.experiments.is_empty();
        if all.types.is_empty() || takes_all || is_experiment {
            return;
        }
        let samples = Samples::of(&[all]);
        let comparisons = samples.count().saturating_mul(all.routes.len().max(1));
        if comparisons > MAX_SAMPLES * MAX_ROUTES {
            return;
        }
        for (index, one) in all.types.iter().enumerate() {
            if let Some(sample) = unrouted(all, &samples, one) {
                let span = self.block(BlockKind::Type, index).span();
                let message = unrouted_message(all, one, &sample);
                let finding = self.report(Code::NoRoute, span, message);
                finding.help = Some("a last route without `match` takes what is left".into());
            }
        }
    }
}

/// A request of a type that no route takes. Tenants that are not named may be meant to have no route.
fn unrouted<'s>(
    all: &Configuration,
    samples: &'s Samples,
    of_type: &TrafficType,
) -> Option<Sample<'s>> {
    let tenants = samples.tenants().iter();
    tenants
        .filter(|name| !name.is_empty() || all.tenants.is_empty())
        .flat_map(|tenant| samples.of_pair(&of_type.name, tenant))
        .find(|sample| first_match(&all.routes, sample).is_none())
}

fn unrouted_message(all: &Configuration, of_type: &TrafficType, sample: &Sample<'_>) -> String {
    let mut examples = Vec::new();
    let mut matches = all.routes.iter().filter_map(|route| route.r#match.as_ref());
    let routes_name_tenants = matches.any(|matched| !matched.tenants.is_empty());
    if !sample.tenant.is_empty() && routes_name_tenants {
        examples.push(format!("of `{}`", shorten(sample.tenant)));
    }
    if sample.is_retry {
        examples.push("further tries".into());
    }
    let name = shorten(&of_type.name);
    if examples.is_empty() {
        format!("some tickets of `{name}` reach no route")
    } else {
        let examples = examples.join(", ");
        format!("some tickets of `{name}` reach no route, such as {examples}")
    }
}
