//! Blocks to the message of the schema: names, defaults, one policy built on another.
//!
//! Beside the message stand the blocks that its parts came from, in the same order, so that the checker
//! can point at them. Lists are brought into order only after the checks.
mod block_kind;
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

pub use block_kind::Sort;

use crate::ast::{Block, Name};
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::source::Sources;
use crate::units::ONE;
use crate::{Finding, Findings};
use foldhash::{HashMap, HashSet, HashSetExt};
use reader::{must, or, Bounds, Reader};

const SECOND: u64 = 1_000_000_000;
/// No time in a configuration is longer: what waits a week is no ticket.
const LONGEST: u64 = 7 * 24 * 3_600 * SECOND;
/// Tries of one ticket: more only makes a bad time worse.
const MOST_TRIES: u64 = 10;
/// Weight of a member, or benefit of a type, against another.
const MOST_FACTOR: u64 = 1_000_000 * ONE;
/// Blocks of one kind: what runs tells them apart by two bytes.
const MOST_THINGS: usize = 65_000;
/// Bytes of an entity pattern: longer than any number that tickets are about.
const LONGEST_PATTERN: usize = 256;
/// Bytes of a name: it is told in logs and answers.
const LONGEST_NAME: usize = 128;
/// Policies below one another.
const DEEPEST_BASE: usize = 16;
/// Unknown names for which the nearest known one is looked up: it costs a walk over all names.
const MOST_LOOKUPS: usize = 100;

type Blocks<'r, 't> = Vec<&'r Block<'t>>;

/// The message, and the blocks that its lists were made from.
pub struct Resolved<'r, 't> {
    pub configuration: schema::Configuration,
    /// By [`Sort`]; each as long as its list in the message.
    pub blocks: [Blocks<'r, 't>; Sort::ALL.len()],
    /// Routes whose match has errors: what they take is not known.
    pub unsure: HashSet<usize>,
}

impl<'r, 't> Resolved<'r, 't> {
    pub fn block(&self, sort: Sort, at: usize) -> &'r Block<'t> {
        self.blocks[sort as usize][at]
    }
}

/// The known name nearest to a wrong one, if one is near enough to have been meant.
pub fn nearest<'n>(wrong: &str, known: impl Iterator<Item = &'n str>) -> Option<&'n str> {
    let most = (wrong.chars().count() / 3).clamp(1, 3);
    let near = known.filter(|name| name.len().abs_diff(wrong.len()) <= 2 * most);
    let rated = near.map(|name| (strsim::damerau_levenshtein(wrong, name), name));
    rated
        .filter(|(far, _)| *far <= most)
        .min()
        .map(|(_, name)| name)
}

pub fn resolve<'r, 't>(
    sources: &Sources,
    blocks: &'r [Block<'t>],
    findings: &mut Findings,
) -> Resolved<'r, 't> {
    let mut sorted: [Blocks<'r, 't>; Sort::ALL.len()] = Default::default();
    let mut names: Names<'r> = Default::default();
    for block in blocks {
        let Some(sort) = Sort::of(&block.kind.text) else {
            let words = format!("`{}` is no kind of block", shorten(&block.kind.text));
            let finding = Finding::new(Code::UnknownKind, block.kind.at, words);
            let near = nearest(&block.kind.text, Sort::ALL.into_iter().map(Sort::word));
            let all = Sort::ALL.map(Sort::word).join(", ");
            findings.push(match near {
                Some(near) => finding.help(format!("perhaps `{near}`?")),
                None => finding.help(format!("kinds: {all}")),
            });
            continue;
        };
        let Some(name) = &block.name else {
            let words = format!("this {} has no name", sort.word());
            findings.push(Finding::new(Code::NoName, block.kind.at, words));
            continue;
        };
        if name.text.len() > LONGEST_NAME {
            let words = format!(
                "a name is at most {LONGEST_NAME} bytes; this one has {}",
                name.text.len()
            );
            findings.push(Finding::new(Code::TooMuch, name.at, words));
            continue;
        }
        let of_sort = &mut sorted[sort as usize];
        if of_sort.len() >= MOST_THINGS {
            let words = format!("more than {MOST_THINGS} blocks of kind `{}`", sort.word());
            findings.push(Finding::new(Code::TooManyThings, name.at, words));
            break;
        }
        if let Some(first) = names[sort as usize].get(&*name.text) {
            let words = format!(
                "the {} `{}` is defined a second time",
                sort.word(),
                shorten(&name.text)
            );
            let finding = Finding::new(Code::NameTwice, name.at, words);
            findings.push(finding.also(of_sort[*first].at(), "first defined here"));
            continue;
        }
        names[sort as usize].insert(&name.text, of_sort.len());
        of_sort.push(block);
    }
    let unsure = HashSet::new();
    let mut maker = Maker {
        sources,
        names: &names,
        sorted: &sorted,
        lookups: 0,
        unsure,
        findings,
    };
    let configuration = maker.configuration();
    let unsure = maker.unsure;
    Resolved {
        configuration,
        blocks: sorted,
        unsure,
    }
}

type Names<'r> = [HashMap<&'r str, usize>; Sort::ALL.len()];

struct Maker<'m, 'r, 't> {
    sources: &'m Sources,
    names: &'m Names<'r>,
    sorted: &'m [Blocks<'r, 't>; Sort::ALL.len()],
    lookups: usize,
    unsure: HashSet<usize>,
    findings: &'m mut Findings,
}

impl<'r, 't> Maker<'_, 'r, 't> {
    fn each<T>(&mut self, sort: Sort, make: fn(&mut Reader<'_, '_, 'r, 't>) -> T) -> Vec<T> {
        let blocks = &self.sorted[sort as usize];
        blocks
            .iter()
            .map(|block| self.read(sort, block, make))
            .collect()
    }

    fn read<T>(
        &mut self,
        sort: Sort,
        block: &'r Block<'t>,
        make: fn(&mut Reader<'_, '_, 'r, 't>) -> T,
    ) -> T {
        let chain = self.chain(sort, block);
        let mut reader = Reader {
            maker: self,
            chain,
            asked: Vec::new(),
            holds: &[],
        };
        let made = make(&mut reader);
        reader.end();
        made
    }

    /// The block, then what it is built on, then what that is built on.
    fn chain(&mut self, sort: Sort, block: &'r Block<'t>) -> Blocks<'r, 't> {
        let mut chain = vec![block];
        while let Some(base) = &chain[chain.len() - 1].base {
            if !sort.is_policy() {
                let words = format!("a {} cannot be built on another", sort.word());
                self.findings
                    .push(Finding::new(Code::NoBase, base.at, words));
                break;
            }
            let Some(below) = self.known(sort, base) else {
                break;
            };
            let below = self.sorted[sort as usize][below];
            if let Some(begin) = chain.iter().position(|link| std::ptr::eq(*link, below)) {
                // Told once, by the block that stands first in the ring.
                if begin == 0 {
                    let names: Vec<_> =
                        chain.iter().filter_map(|link| link.name.as_ref()).collect();
                    let names: Vec<_> = names.iter().map(|name| shorten(&name.text)).collect();
                    let words = format!(
                        "{} are built on each other in a ring: {} -> {}",
                        sort.word(),
                        names.join(" -> "),
                        names[0]
                    );
                    self.findings
                        .push(Finding::new(Code::BaseRing, base.at, words));
                }
                break;
            }
            if chain.len() > DEEPEST_BASE {
                let words = format!("stands on more than {DEEPEST_BASE} others, one on the next");
                self.findings
                    .push(Finding::new(Code::BaseDeep, block.at(), words));
                break;
            }
            chain.push(below);
        }
        chain
    }

    /// The index of a name that something refers to.
    fn known(&mut self, sort: Sort, name: &Name<'_>) -> Option<usize> {
        if let Some(at) = self.names[sort as usize].get(&*name.text) {
            return Some(*at);
        }
        let words = format!("there is no {} `{}`", sort.word(), shorten(&name.text));
        let mut finding = Finding::new(Code::UnknownName, name.at, words);
        self.lookups += 1;
        if self.lookups <= MOST_LOOKUPS {
            let names = self.names[sort as usize].keys().copied();
            if let Some(near) = nearest(&name.text, names) {
                let at = self.sorted[sort as usize][self.names[sort as usize][near]].at();
                finding = finding
                    .also(at, "defined here")
                    .help(format!("perhaps `{near}`?"));
            } else if let Some(other) = Sort::ALL
                .into_iter()
                .find(|other| self.names[*other as usize].contains_key(&*name.text))
            {
                let at = self.sorted[other as usize][self.names[other as usize][&*name.text]].at();
                finding = finding.also(at, format!("this is a {}", other.word()));
            }
        }
        self.findings.push(finding);
        None
    }

    fn configuration(&mut self) -> schema::Configuration {
        schema::Configuration {
            version: schema::VERSION,
            types: self.each(Sort::Type, traffic_type::traffic_type),
            tenants: self.each(Sort::Tenant, tenant::tenant),
            pools: self.each(Sort::Pool, pool::pool),
            dependencies: self.each(Sort::Dependency, dependency::dependency),
            limits: self.each(Sort::Limits, policies::limits),
            attempts: self.each(Sort::Attempts, policies::attempts),
            budgets: self.each(Sort::Budget, policies::budget),
            health: self.each(Sort::Health, policies::health),
            retry_after: self.each(Sort::RetryAfter, policies::retry_after),
            routes: self.each(Sort::Route, route::route),
            recordings: self.each(Sort::Recording, observability::recording),
            logs: self.each(Sort::Log, observability::log),
            experiments: self.each(Sort::Experiment, experiment::experiment),
            groups: self.each(Sort::Group, group::group),
            rigs: self.each(Sort::Rig, rig::rig),
            controls: self.each(Sort::Control, control::control),
        }
    }
}
