//! Lowers blocks to the message of the schema: names, defaults, one policy built on another.
//!
//! Beside the message stand the blocks that its lists were made from, in the same order, so that the checker
//! can point at them. Lists are sorted only after the checks.

mod amounts;
mod block_kind;
mod bounds;
mod control;
mod dependency;
mod experiment;
mod group;
mod observability;
mod policies;
mod pool;
mod reader;
mod rig;
mod route;
mod tenant;
mod traffic_type;

pub use block_kind::BlockKind;

use crate::ast::{Block, Name};
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::source::SourceMap;
use crate::units::ONE;
use crate::{Finding, Findings};
use foldhash::{HashMap, HashSet, HashSetExt};
use reader::BlockReader;

const MILLISECOND_NS: u64 = 1_000_000;
const SECOND_NS: u64 = 1_000_000_000;
/// The longest time in a configuration: a week.
const MAX_DURATION_NS: u64 = 7 * 24 * 3_600 * SECOND_NS;
/// Attempts of one request.
const MAX_TRIES: u64 = 10;
/// Weight of a member, or benefit of a type, against another.
const MAX_FACTOR: u64 = 1_000_000 * ONE;
/// Blocks of one kind: routing tables hold their indices in two bytes.
const MAX_BLOCKS_PER_KIND: usize = 65_000;
/// Bytes of an entity pattern.
const MAX_PATTERN_BYTES: usize = 256;
/// Bytes of a name, which logs and answers repeat.
const MAX_NAME_BYTES: usize = 128;
/// Policies that one is built on, directly or not.
const MAX_BASE_DEPTH: usize = 16;
/// Unknown names for which the nearest known one is looked up: each costs a walk over all names.
const MAX_SUGGESTIONS: usize = 100;

type Blocks<'r, 't> = Vec<&'r Block<'t>>;

/// The message, and the blocks that its lists were made from.
pub struct Resolved<'r, 't> {
    /// The message, with its lists in the order of the files.
    pub configuration: schema::Configuration,
    /// By [`BlockKind`]; each as long as its list in the message.
    pub blocks: [Blocks<'r, 't>; BlockKind::ALL.len()],
    /// Indices of routes whose match has findings, so that it is not known what they match.
    pub uncertain_routes: HashSet<usize>,
}

impl<'r, 't> Resolved<'r, 't> {
    /// The block that an item of a list in the message was made from.
    ///
    /// # Panics
    /// If there is no such item.
    pub fn block(&self, kind: BlockKind, index: usize) -> &'r Block<'t> {
        self.blocks[kind as usize][index]
    }
}

/// The known name nearest to a wrong one, if one is near enough to have been meant.
pub fn nearest<'n>(wrong: &str, known: impl Iterator<Item = &'n str>) -> Option<&'n str> {
    let max_distance = (wrong.chars().count() / 3).clamp(1, 3);
    let near = known.filter(|name| name.len().abs_diff(wrong.len()) <= 2 * max_distance);
    let rated = near.map(|name| (strsim::damerau_levenshtein(wrong, name), name));
    rated
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map(|(_, name)| name)
}

/// Lowers the blocks of a configuration to its message. What cannot be read is added to `findings`, and stands in the
/// message as if it were left out.
pub fn resolve<'r, 't>(
    sources: &SourceMap,
    blocks: &'r [Block<'t>],
    findings: &mut Findings,
) -> Resolved<'r, 't> {
    let index = BlockIndex::build(blocks, findings);
    let mut resolver = Resolver {
        sources,
        index: &index,
        suggestions: 0,
        uncertain_routes: HashSet::new(),
        findings,
    };
    let configuration = resolver.configuration();
    let uncertain_routes = resolver.uncertain_routes;
    Resolved {
        configuration,
        blocks: index.blocks,
        uncertain_routes,
    }
}

/// The blocks of all files by kind, and by name.
#[derive(Default)]
struct BlockIndex<'r, 't> {
    /// By [`BlockKind`], in the order of the files.
    blocks: [Blocks<'r, 't>; BlockKind::ALL.len()],
    /// By [`BlockKind`]: the index in `blocks` of each name.
    names: [HashMap<&'r str, usize>; BlockKind::ALL.len()],
}

impl<'r, 't> BlockIndex<'r, 't> {
    /// Takes the blocks that have a known kind and a name of their own; the others are reported.
    fn build(blocks: &'r [Block<'t>], findings: &mut Findings) -> Self {
        let mut index = Self::default();
        for block in blocks {
            let Some(kind) = BlockKind::from_word(&block.kind.text) else {
                findings.push(unknown_kind(&block.kind));
                continue;
            };
            let name = match valid_name(kind, block) {
                Ok(name) => name,
                Err(finding) => {
                    findings.push(finding);
                    continue;
                }
            };
            if index.of_kind(kind).len() >= MAX_BLOCKS_PER_KIND {
                let message = format!(
                    "more than {MAX_BLOCKS_PER_KIND} blocks of kind `{}`",
                    kind.word()
                );
                findings.push(Finding::new(Code::TooManyThings, name.span, message));
                break;
            }
            if let Some(first) = index.find(kind, &name.text) {
                let message = format!(
                    "the {} `{}` is defined a second time",
                    kind.word(),
                    shorten(&name.text)
                );
                let finding = Finding::new(Code::NameTwice, name.span, message);
                findings.push(finding.with_label(first.span(), "first defined here"));
                continue;
            }
            index.add(kind, &name.text, block);
        }
        index
    }

    fn add(&mut self, kind: BlockKind, name: &'r str, block: &'r Block<'t>) {
        let of_kind = &mut self.blocks[kind as usize];
        self.names[kind as usize].insert(name, of_kind.len());
        of_kind.push(block);
    }

    fn of_kind(&self, kind: BlockKind) -> &[&'r Block<'t>] {
        &self.blocks[kind as usize]
    }

    fn position(&self, kind: BlockKind, name: &str) -> Option<usize> {
        self.names[kind as usize].get(name).copied()
    }

    fn find(&self, kind: BlockKind, name: &str) -> Option<&'r Block<'t>> {
        self.position(kind, name)
            .map(|index| self.blocks[kind as usize][index])
    }
}

fn unknown_kind(word: &Name<'_>) -> Finding {
    let message = format!("`{}` is no kind of block", shorten(&word.text));
    let finding = Finding::new(Code::UnknownKind, word.span, message);
    let words = BlockKind::ALL.map(BlockKind::word);
    match nearest(&word.text, words.into_iter()) {
        Some(near) => finding.with_help(format!("perhaps `{near}`?")),
        None => finding.with_help(format!("kinds: {}", words.join(", "))),
    }
}

fn valid_name<'r, 't>(kind: BlockKind, block: &'r Block<'t>) -> Result<&'r Name<'t>, Finding> {
    let Some(name) = &block.name else {
        let message = format!("this {} has no name", kind.word());
        return Err(Finding::new(Code::NoName, block.kind.span, message));
    };
    if name.text.len() > MAX_NAME_BYTES {
        let message = format!(
            "a name is at most {MAX_NAME_BYTES} bytes; this one has {}",
            name.text.len()
        );
        return Err(Finding::new(Code::TooMuch, name.span, message));
    }
    Ok(name)
}

struct Resolver<'m, 'r, 't> {
    sources: &'m SourceMap,
    index: &'m BlockIndex<'r, 't>,
    /// Unknown names for which the nearest known one was looked up.
    suggestions: usize,
    uncertain_routes: HashSet<usize>,
    findings: &'m mut Findings,
}

impl<'r, 't> Resolver<'_, 'r, 't> {
    fn each<T>(
        &mut self,
        kind: BlockKind,
        make: fn(&mut BlockReader<'_, '_, 'r, 't>) -> T,
    ) -> Vec<T> {
        let mut all = Vec::with_capacity(self.index.of_kind(kind).len());
        for block in self.index.of_kind(kind) {
            let chain = self.base_chain(kind, block);
            all.push(BlockReader::read(self, chain, make));
        }
        all
    }

    /// The block, then its base, then the base of that.
    fn base_chain(&mut self, kind: BlockKind, block: &'r Block<'t>) -> Blocks<'r, 't> {
        let mut chain = vec![block];
        while let Some(base) = &chain[chain.len() - 1].base {
            if !kind.is_policy() {
                let message = format!("a {} cannot be built on another", kind.word());
                self.findings
                    .push(Finding::new(Code::NoBase, base.span, message));
                break;
            }
            let Some(below) = self.lookup(kind, base) else {
                break;
            };
            let below = self.index.of_kind(kind)[below];
            if let Some(begin) = chain.iter().position(|link| std::ptr::eq(*link, below)) {
                // Reported once, for the block that stands first in the ring.
                if begin == 0 {
                    self.findings.push(base_ring(kind, &chain, base));
                }
                break;
            }
            if chain.len() > MAX_BASE_DEPTH {
                let message =
                    format!("stands on more than {MAX_BASE_DEPTH} others, one on the next");
                self.findings
                    .push(Finding::new(Code::BaseDeep, block.span(), message));
                break;
            }
            chain.push(below);
        }
        chain
    }

    /// The index of the block that a name refers to; a name without block is reported.
    fn lookup(&mut self, kind: BlockKind, name: &Name<'_>) -> Option<usize> {
        let found = self.index.position(kind, &name.text);
        if found.is_none() {
            let message = format!("there is no {} `{}`", kind.word(), shorten(&name.text));
            let finding = Finding::new(Code::UnknownName, name.span, message);
            let finding = self.with_suggestion(finding, kind, &name.text);
            self.findings.push(finding);
        }
        found
    }

    fn with_suggestion(&mut self, finding: Finding, kind: BlockKind, wrong: &str) -> Finding {
        self.suggestions += 1;
        if self.suggestions > MAX_SUGGESTIONS {
            return finding;
        }
        let names = self.index.names[kind as usize].keys().copied();
        if let Some(near) = nearest(wrong, names) {
            let defined = self.index.find(kind, near).map(Block::span);
            return finding
                .with_label(defined.unwrap_or_default(), "defined here")
                .with_help(format!("perhaps `{near}`?"));
        }
        let mut others = BlockKind::ALL.into_iter();
        let same_name = others.find_map(|other| Some((other, self.index.find(other, wrong)?)));
        match same_name {
            Some((other, block)) => {
                finding.with_label(block.span(), format!("this is a {}", other.word()))
            }
            None => finding,
        }
    }

    fn configuration(&mut self) -> schema::Configuration {
        schema::Configuration {
            version: schema::VERSION,
            types: self.each(BlockKind::Type, traffic_type::traffic_type),
            tenants: self.each(BlockKind::Tenant, tenant::tenant),
            pools: self.each(BlockKind::Pool, pool::pool),
            dependencies: self.each(BlockKind::Dependency, dependency::dependency),
            limits: self.each(BlockKind::Limits, policies::limits),
            attempts: self.each(BlockKind::Attempts, policies::attempts),
            budgets: self.each(BlockKind::Budget, policies::budget),
            health: self.each(BlockKind::Health, policies::health),
            retry_after: self.each(BlockKind::RetryAfter, policies::retry_after),
            routes: self.each(BlockKind::Route, route::route),
            recordings: self.each(BlockKind::Recording, observability::recording),
            logs: self.each(BlockKind::Log, observability::log),
            experiments: self.each(BlockKind::Experiment, experiment::experiment),
            groups: self.each(BlockKind::Group, group::group),
            rigs: self.each(BlockKind::Rig, rig::rig),
            controls: self.each(BlockKind::Control, control::control),
        }
    }
}

fn base_ring(kind: BlockKind, chain: &[&Block<'_>], base: &Name<'_>) -> Finding {
    let names = chain.iter().filter_map(|link| link.name.as_ref());
    let names: Vec<_> = names.map(|name| shorten(&name.text)).collect();
    let message = format!(
        "{} are built on each other in a ring: {} -> {}",
        kind.word(),
        names.join(" -> "),
        names[0]
    );
    Finding::new(Code::BaseRing, base.span, message)
}
