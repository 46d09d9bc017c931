//! The attempts of a route and of its pools: whether its types may be retried so, and how often that comes to.

use super::Checker;
use crate::ast::Block;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::schema::{Attempts, Proof, RepeatKind, Route};
use crate::source::Span;

/// A kind of types that may not be retried without proof that the first attempt had no effect.
struct Unproven {
    kind: RepeatKind,
    code: Code,
    /// As messages name the kind.
    word: &'static str,
    help: &'static str,
}

const EXCLUSIVE: Unproven = Unproven {
    kind: RepeatKind::Exclusive,
    code: Code::ExclusiveRepeat,
    word: "exclusive",
    help: "write `proof: not-run`, or match other types only",
};

const TICKETED: Unproven = Unproven {
    kind: RepeatKind::Ticketed,
    code: Code::TicketedRepeat,
    word: "ticketed",
    help: "write `proof: mark` or `proof: not-run`",
};

impl<'k, 'r, 't> Checker<'k, 'r, 't> {
    pub(super) fn check_attempts(&mut self, route: &'k Route, block: &'r Block<'t>) {
        let own = self.attempts_named(&route.attempts);
        if let Some(own) = own {
            self.check_proof(route, own, block.span_of("attempts"));
        }
        let targets = route.to.iter().map(|target| &target.pool);
        for name in targets.chain(&route.fall_back) {
            let Some(index) = self.pools.get(&**name).copied() else {
                continue;
            };
            let pool = &self.all.pools[index];
            let Some(of_pool) = self.attempts_named(&pool.attempts) else {
                continue;
            };
            let pool_span = self.block(BlockKind::Pool, index).span_of("attempts");
            self.check_proof(route, of_pool, pool_span);
            if let Some(own) = own.filter(|own| own.tries > 1 && of_pool.tries > 1) {
                let message = format!(
                    "{} tries by the route and {} by the pool `{}` make {} of one ticket",
                    own.tries,
                    of_pool.tries,
                    shorten(&pool.name),
                    own.tries * of_pool.tries
                );
                let span = block.span_of("attempts");
                let finding = self.report(Code::AttemptsMultiply, span, message);
                finding.add_label(pool_span, "the pool's attempts");
                finding.help = Some("leave the attempts to one of the two".into());
            }
        }
    }

    /// Rule 2: whether all types of a route may be repeated as a policy says.
    fn check_proof(&mut self, route: &'k Route, policy: &Attempts, span: Span) {
        if policy.tries < 2 || policy.proof() == Proof::NotRun {
            return;
        }
        self.check_proof_of(&EXCLUSIVE, route, policy, span);
        if policy.proof() != Proof::Mark {
            self.check_proof_of(&TICKETED, route, policy, span);
        }
    }

    fn check_proof_of(
        &mut self,
        unproven: &Unproven,
        route: &'k Route,
        policy: &Attempts,
        span: Span,
    ) {
        let types = self.types_of(route).into_iter();
        let mut unproven_types =
            types.filter(|index| self.all.types[*index].repeat() == unproven.kind);
        let Some(first) = unproven_types.next() else {
            return;
        };
        let more = match unproven_types.count() {
            0 => String::new(),
            more => format!(" (and {more} more)"),
        };
        let message = format!(
            "`{}` would repeat tickets of the {} type `{}`{more} without proof",
            shorten(&policy.name),
            unproven.word,
            shorten(&self.all.types[first].name)
        );
        let repeat = self.block(BlockKind::Type, first).span_of("repeat");
        let finding = self.report(unproven.code, span, message);
        finding.add_label(repeat, format!("{} here", unproven.word));
        finding.help = Some(unproven.help.into());
    }
}
