//! Blocks to the message of the schema: names, defaults, one policy built on another.
//!
//! Beside the message stand the blocks that its parts came from, in the same order, so that the checker
//! can point at them. Lists are brought into order only after the checks.

mod control;
mod experiment;
mod group;
mod rig;

use crate::ast::{Atom, Block, Entry, Name, Value};
use crate::codes::Code;
use crate::parse::shorten;
use crate::schema::{self, Again, LogForm, OnFailure, Per, Proof, RepeatKind, SplitBy};
use crate::source::{Sources, Span};
use crate::tree::Kind as Leaf;
use crate::units::{self, Dimension, ONE, PERCENT};
use crate::{Finding, Findings};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::net::SocketAddr;

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

/// The kinds of blocks at the top of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Sort {
    Type,
    Tenant,
    Pool,
    Dependency,
    Limits,
    Attempts,
    Budget,
    Health,
    RetryAfter,
    Route,
    Recording,
    Log,
    Experiment,
    Group,
    Rig,
    Control,
}

impl Sort {
    pub const ALL: [Sort; 16] = [
        Sort::Type,
        Sort::Tenant,
        Sort::Pool,
        Sort::Dependency,
        Sort::Limits,
        Sort::Attempts,
        Sort::Budget,
        Sort::Health,
        Sort::RetryAfter,
        Sort::Route,
        Sort::Recording,
        Sort::Log,
        Sort::Experiment,
        Sort::Group,
        Sort::Rig,
        Sort::Control,
    ];

    /// As it is written.
    pub fn word(self) -> &'static str {
        match self {
            Sort::Type => "type",
            Sort::Tenant => "tenant",
            Sort::Pool => "pool",
            Sort::Dependency => "dependency",
            Sort::Limits => "limits",
            Sort::Attempts => "attempts",
            Sort::Budget => "budget",
            Sort::Health => "health",
            Sort::RetryAfter => "retry-after",
            Sort::Route => "route",
            Sort::Recording => "recording",
            Sort::Log => "log",
            Sort::Experiment => "experiment",
            Sort::Group => "group",
            Sort::Rig => "rig",
            Sort::Control => "control",
        }
    }

    pub fn is_policy(self) -> bool {
        matches!(
            self,
            Sort::Limits | Sort::Attempts | Sort::Budget | Sort::Health | Sort::RetryAfter
        )
    }

    fn of(word: &str) -> Option<Sort> {
        Sort::ALL.into_iter().find(|sort| sort.word() == word)
    }
}

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

/// What an amount may be.
struct Bounds {
    default: Option<u64>,
    zero: bool,
    most: u64,
}

/// An amount that must be given.
const fn must(most: u64) -> Bounds {
    Bounds {
        default: None,
        zero: false,
        most,
    }
}

/// An amount that may be left out.
const fn or(default: u64, most: u64) -> Bounds {
    Bounds {
        default: Some(default),
        zero: false,
        most,
    }
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
            types: self.each(Sort::Type, traffic_type),
            tenants: self.each(Sort::Tenant, tenant),
            pools: self.each(Sort::Pool, pool),
            dependencies: self.each(Sort::Dependency, dependency),
            limits: self.each(Sort::Limits, limits),
            attempts: self.each(Sort::Attempts, attempts),
            budgets: self.each(Sort::Budget, budget),
            health: self.each(Sort::Health, health),
            retry_after: self.each(Sort::RetryAfter, retry_after),
            routes: self.each(Sort::Route, route),
            recordings: self.each(Sort::Recording, recording),
            logs: self.each(Sort::Log, log),
            experiments: self.each(Sort::Experiment, experiment::experiment),
            groups: self.each(Sort::Group, group::group),
            rigs: self.each(Sort::Rig, rig::rig),
            controls: self.each(Sort::Control, control::control),
        }
    }
}

/// Reads one block's entries; what nobody asked for is unknown.
struct Reader<'m, 'w, 'r, 't> {
    maker: &'m mut Maker<'w, 'r, 't>,
    chain: Blocks<'r, 't>,
    asked: Vec<&'static str>,
    /// Kinds of blocks that may stand in this one.
    holds: &'static [&'static str],
}

impl<'r, 't> Reader<'_, '_, 'r, 't> {
    fn block(&self) -> &'r Block<'t> {
        self.chain[0]
    }

    fn name(&self) -> String {
        self.block()
            .name
            .as_ref()
            .map_or(String::new(), |name| name.text.clone().into_owned())
    }

    fn tell(&mut self, finding: Finding) {
        self.maker.findings.push(finding);
    }

    /// The entry of a key, the block's own before what it is built on.
    fn entry(&mut self, key: &'static str) -> Option<&'r Entry<'t>> {
        self.asked.push(key);
        self.chain
            .iter()
            .find_map(|block| block.entries.iter().find(|entry| entry.key.text == key))
    }

    /// The one value of a key.
    fn single(&mut self, key: &'static str) -> Option<&'r Value<'t>> {
        let entry = self.entry(key)?;
        if let Some(second) = entry.values.get(1) {
            let words = format!("`{key}` takes one value; here stand {}", entry.values.len());
            self.tell(Finding::new(Code::ListHere, second.at, words));
        }
        entry.values.first()
    }

    fn missing(&mut self, key: &'static str) {
        let block = self.block();
        let words = format!(
            "the {} `{}` has no `{key}`",
            block.kind.text,
            shorten(&self.name())
        );
        self.tell(Finding::new(Code::KeyMissing, block.at(), words));
    }

    fn within(
        &mut self,
        key: &str,
        found: Result<units::Amount, Finding>,
        at: Span,
        bounds: &Bounds,
    ) -> u64 {
        let amount = match found {
            Ok(amount) => amount,
            Err(finding) => {
                self.tell(finding);
                return bounds.default.unwrap_or(0);
            }
        };
        if amount.steps == 0 && !bounds.zero {
            self.tell(Finding::new(
                Code::Zero,
                at,
                format!("`{key}` cannot be zero"),
            ));
        } else if amount.steps > bounds.most {
            let most = match amount.dimension {
                Dimension::Time => units::time(bounds.most),
                Dimension::Share => units::share(bounds.most),
                Dimension::Factor => units::factor(bounds.most),
                Dimension::Size => units::size(bounds.most),
                Dimension::Tickets => format!("{} tickets", bounds.most),
                Dimension::Rate => units::rate(bounds.most, amount.per),
            };
            let shown = shorten(self.maker.sources.slice(at));
            let words = format!("`{key}` is at most {most}; `{shown}` is more");
            self.tell(Finding::new(Code::TooMuch, at, words));
        }
        amount.steps
    }

    fn amount(&mut self, key: &'static str, wanted: Dimension, bounds: Bounds) -> u64 {
        match self.single(key) {
            Some(value) => self.within(key, units::expect(key, wanted, value), value.at, &bounds),
            None => {
                // An entry without a value was told when it was parsed.
                if bounds.default.is_none() && self.entry(key).is_none() {
                    self.missing(key);
                }
                bounds.default.unwrap_or(0)
            }
        }
    }

    fn time(&mut self, key: &'static str, bounds: Bounds) -> u64 {
        self.amount(key, Dimension::Time, bounds)
    }

    fn share(&mut self, key: &'static str, bounds: Bounds) -> u64 {
        self.amount(key, Dimension::Share, bounds)
    }

    fn rate(&mut self, key: &'static str) -> Option<schema::Rate> {
        let value = self.single(key)?;
        let found = units::expect(key, Dimension::Rate, value);
        let per_ns = found.as_ref().map_or(SECOND, |amount| amount.per);
        let micro_tickets = self.within(key, found, value.at, &or(0, MOST_FACTOR * 1_000));
        Some(schema::Rate {
            micro_tickets,
            per_ns,
        })
    }

    /// A plain whole number.
    fn whole(&mut self, key: &'static str, bounds: Bounds) -> u64 {
        let place = self.single(key).map(|value| value.at);
        let wide = Bounds {
            default: bounds.default.map(|d| d * ONE),
            zero: bounds.zero,
            most: bounds.most * ONE,
        };
        let found = self.amount(key, Dimension::Factor, wide);
        if let (Some(at), true) = (place, !found.is_multiple_of(ONE)) {
            self.tell(Finding::new(
                Code::Digits,
                at,
                format!("`{key}` is a whole number"),
            ));
        }
        found / ONE
    }

    /// A name alone, as a word or a text.
    fn said(&mut self, key: &str, value: &Value<'t>, what: &str) -> Option<Name<'t>> {
        match &value.atoms[..] {
            [one] if one.said().is_some() => one.said(),
            _ => {
                let words = format!("`{key}` wants {what}, not `{}`", shorten(value.text));
                self.tell(Finding::new(Code::NotName, value.at, words));
                None
            }
        }
    }

    fn reference(&mut self, key: &'static str, sort: Sort) -> String {
        let Some(value) = self.single(key) else {
            return String::new();
        };
        let what = format!("the name of a {}", sort.word());
        match self.said(key, value, &what) {
            Some(name) if self.maker.known(sort, &name).is_some() => name.text.into_owned(),
            _ => String::new(),
        }
    }

    fn references(&mut self, key: &'static str, sort: Sort) -> Vec<String> {
        let Some(entry) = self.entry(key) else {
            return Vec::new();
        };
        let what = format!("names of {}s", sort.word());
        let mut found = Vec::new();
        for value in &entry.values {
            if let Some(name) = self.said(key, value, &what) {
                if self.maker.known(sort, &name).is_some() {
                    found.push((name.text.into_owned(), value.at));
                }
            }
        }
        self.once_each(key, &found);
        found.into_iter().map(|(name, _)| name).collect()
    }

    fn once_each(&mut self, key: &str, items: &[(String, Span)]) {
        let mut seen = HashSet::new();
        for (name, at) in items {
            if !seen.insert(name) {
                let words = format!("`{key}` names `{}` twice", shorten(name));
                self.tell(Finding::new(Code::ItemTwice, *at, words));
            }
        }
    }

    /// One of a few words; `T::default` means nothing was said.
    fn word<T: Copy>(
        &mut self,
        key: &'static str,
        words: &[(&'static str, T)],
        default: Option<T>,
    ) -> Option<T> {
        let Some(value) = self.single(key) else {
            if default.is_none() && self.entry(key).is_none() {
                self.missing(key);
            }
            return default;
        };
        let found = words.iter().find(|(word, _)| *word == value.text);
        if found.is_none() {
            let all: Vec<_> = words.iter().map(|(word, _)| format!("`{word}`")).collect();
            let says = format!(
                "`{key}` is one of {}, not `{}`",
                all.join(", "),
                shorten(value.text)
            );
            let mut finding = Finding::new(Code::UnknownWord, value.at, says);
            if let Some(near) = nearest(value.text, words.iter().map(|(word, _)| *word)) {
                finding = finding.help(format!("perhaps `{near}`?"));
            }
            self.tell(finding);
        }
        found.map(|(_, meant)| *meant).or(default)
    }

    fn text(&mut self, key: &'static str, what: &str) -> Option<Name<'t>> {
        let value = self.single(key)?;
        self.said(key, value, what)
    }

    /// Both ends of `a .. b`; an open end is `None` where `open` allows it.
    fn range(
        &mut self,
        key: &'static str,
        wanted: Dimension,
        open: bool,
        bounds: &Bounds,
    ) -> Option<(Option<u64>, Option<u64>)> {
        let value = self.single(key)?;
        let example = match wanted {
            Dimension::Size => "1 KiB .. 64 KiB",
            _ => "20 ms .. 200 ms",
        };
        let Some(cut) = value.atoms.iter().position(|atom| atom.kind == Leaf::To) else {
            let words = format!(
                "`{key}` wants a range such as `{example}`, not `{}`",
                shorten(value.text)
            );
            self.tell(Finding::new(Code::NoRange, value.at, words));
            return None;
        };
        let (before, after) = (&value.atoms[..cut], &value.atoms[cut + 1..]);
        let found = self.maker.findings.made();
        let least = self.end_of_range(key, wanted, before, open, value.at, bounds);
        let most = self.end_of_range(key, wanted, after, open, value.at, bounds);
        let good = self.maker.findings.made() == found;
        if let (Some(least), Some(most), true) = (least, most, good) {
            if least > most {
                let words = format!("`{}` begins above its end", shorten(value.text));
                self.tell(Finding::new(Code::RangeOrder, value.at, words));
            }
        }
        Some((least, most))
    }

    fn end_of_range(
        &mut self,
        key: &str,
        wanted: Dimension,
        atoms: &[Atom<'t>],
        open: bool,
        whole: Span,
        bounds: &Bounds,
    ) -> Option<u64> {
        let (Some(first), Some(last)) = (atoms.first(), atoms.last()) else {
            if !open {
                let words = format!("`{key}` wants both ends of its range");
                self.tell(Finding::new(Code::NoRange, whole, words));
            }
            return None;
        };
        let at = Span {
            end: last.at.end,
            ..first.at
        };
        let text = self.maker.sources.slice(at);
        let found = units::expect_of(key, wanted, atoms, text, at);
        Some(self.within(key, found, at, bounds))
    }

    /// Tells of all that nobody asked for.
    fn end(self) {
        let Reader {
            maker,
            chain,
            asked,
            holds,
        } = self;
        let block = chain[0];
        let mut order: Vec<&Entry<'_>> = block.entries.iter().collect();
        order.sort_by(|a, b| {
            a.key
                .text
                .cmp(&b.key.text)
                .then(a.key.at.start.cmp(&b.key.at.start))
        });
        for pair in order.windows(2) {
            if pair[0].key.text == pair[1].key.text {
                let words = format!("`{}` is given twice", shorten(&pair[1].key.text));
                let finding = Finding::new(Code::KeyTwice, pair[1].key.at, words);
                maker
                    .findings
                    .push(finding.also(pair[0].key.at, "given here before"));
            }
        }
        for entry in &block.entries {
            if asked.contains(&&*entry.key.text) {
                continue;
            }
            let words = format!(
                "a {} has no key `{}`",
                block.kind.text,
                shorten(&entry.key.text)
            );
            let finding = Finding::new(Code::UnknownKey, entry.key.at, words);
            let near = nearest(&entry.key.text, asked.iter().copied());
            let mut all = asked.clone();
            all.sort_unstable();
            all.dedup();
            maker.findings.push(match near {
                Some(near) => finding.help(format!("perhaps `{near}`?")),
                None => finding.help(format!("keys: {}", all.join(", "))),
            });
        }
        for inner in &block.blocks {
            if !holds.contains(&&*inner.kind.text) {
                let words = format!(
                    "a block `{}` cannot stand in a {}",
                    shorten(&inner.kind.text),
                    block.kind.text
                );
                maker
                    .findings
                    .push(Finding::new(Code::BlockHere, inner.kind.at, words));
            }
        }
    }
}

fn traffic_type(r: &mut Reader<'_, '_, '_, '_>) -> schema::TrafficType {
    // `repeat: ticketed 5 s` carries its window, so it is taken apart before the word is looked up.
    let (mut repeat, mut window_ns) = (RepeatKind::Unspecified, 0);
    let ticketed = r
        .single("repeat")
        .and_then(|value| match value.atoms.split_first() {
            Some((first, rest)) if first.text == "ticketed" => Some((value, rest)),
            _ => None,
        });
    if let Some((value, rest)) = ticketed {
        repeat = RepeatKind::Ticketed;
        if let (Some(first), Some(last)) = (rest.first(), rest.last()) {
            let at = Span {
                end: last.at.end,
                ..first.at
            };
            let text = r.maker.sources.slice(at);
            let found = units::expect_of("repeat: ticketed", Dimension::Time, rest, text, at);
            window_ns = r.within("repeat: ticketed", found, at, &must(LONGEST));
        } else {
            let words = "`ticketed` wants its window: how long a repeat is told apart";
            r.tell(
                Finding::new(Code::KeyMissing, value.at, words)
                    .help("write `repeat: ticketed 9 s`"),
            );
        }
    } else {
        let words = [
            ("rerunnable", RepeatKind::Rerunnable),
            ("ticketed", RepeatKind::Ticketed),
            ("exclusive", RepeatKind::Exclusive),
        ];
        repeat = r.word("repeat", &words, None).unwrap_or(repeat);
    }
    schema::TrafficType {
        name: r.name(),
        repeat: repeat.into(),
        window_ns,
        goal_ns: r.time("goal", must(LONGEST)),
        outer_limit_ns: r.time("outer-limit", must(LONGEST)),
        benefit: r.amount("benefit", Dimension::Factor, or(ONE, MOST_FACTOR)),
        late: r.share(
            "late",
            Bounds {
                default: Some(0),
                zero: true,
                most: ONE,
            },
        ),
        limits: r.reference("limits", Sort::Limits),
    }
}

fn tenant(r: &mut Reader<'_, '_, '_, '_>) -> schema::Tenant {
    schema::Tenant {
        name: r.name(),
        share: r.share("share", or(0, ONE)),
        quota: r.rate("quota"),
        limits: r.reference("limits", Sort::Limits),
    }
}

fn pool(r: &mut Reader<'_, '_, '_, '_>) -> schema::Pool {
    r.holds = &["member"];
    let block = r.block();
    let mut members = Vec::new();
    let mut names: HashMap<String, Span> = HashMap::new();
    let mut addresses: HashMap<SocketAddr, Span> = HashMap::new();
    let zone = r
        .text("zone", "a zone's name")
        .map_or(String::new(), |zone| zone.text.into_owned());
    for inner in block
        .blocks
        .iter()
        .filter(|inner| inner.kind.text == "member")
    {
        let mut reader = Reader {
            maker: r.maker,
            chain: vec![inner],
            asked: Vec::new(),
            holds: &[],
        };
        let mut made = member(&mut reader, &mut addresses);
        reader.end();
        if made.zone.is_empty() {
            made.zone.clone_from(&zone);
        }
        if let Some(base) = &inner.base {
            r.tell(Finding::new(
                Code::NoBase,
                base.at,
                "a member cannot be built on another",
            ));
        }
        if inner.name.is_none() {
            r.tell(Finding::new(
                Code::NoName,
                inner.kind.at,
                "this member has no name",
            ));
        } else if let Some(first) = names.get(&made.name) {
            let words = format!(
                "the member `{}` is defined a second time",
                shorten(&made.name)
            );
            let finding = Finding::new(Code::NameTwice, inner.at(), words);
            r.tell(finding.also(*first, "first defined here"));
        } else {
            names.insert(made.name.clone(), inner.at());
            members.push(made);
        }
    }
    schema::Pool {
        name: r.name(),
        members,
        health: r.reference("health", Sort::Health),
        limits: r.reference("limits", Sort::Limits),
        attempts: r.reference("attempts", Sort::Attempts),
        retry_after: r.reference("retry-after", Sort::RetryAfter),
        fall_back: r.reference("fall-back", Sort::Pool),
        know: r.whole(
            "know",
            Bounds {
                default: Some(0),
                zero: true,
                most: MOST_THINGS as u64,
            },
        ),
        warm_rate: r.rate("warm-rate"),
        senders: r.whole(
            "senders",
            Bounds {
                default: Some(0),
                zero: true,
                most: MOST_THINGS as u64,
            },
        ),
    }
}

/// The address of a member that no other one of its block has; empty where there is none.
fn address(r: &mut Reader<'_, '_, '_, '_>, taken: &mut HashMap<SocketAddr, Span>) -> String {
    let mut address = String::new();
    match r.text("address", "an address such as `\"10.0.0.1:5050\"`") {
        Some(written) => match written.text.parse::<SocketAddr>() {
            Ok(parsed) if parsed.port() == 0 || parsed.ip().is_unspecified() => {
                let words = format!("`{parsed}` is no node's address and port");
                r.tell(Finding::new(Code::Address, written.at, words));
            }
            Ok(parsed) => {
                if let Some(first) = taken.insert(parsed, written.at) {
                    let words = format!("`{parsed}` is another member's address too");
                    let finding = Finding::new(Code::AddressTwice, written.at, words);
                    r.tell(finding.also(first, "the other member"));
                }
                address = parsed.to_string();
            }
            Err(_) => {
                let words = format!("`{}` is no address and port", shorten(&written.text));
                let finding = Finding::new(Code::Address, written.at, words);
                r.tell(
                    finding.help("write numbers, such as `\"10.0.0.1:5050\"` or `\"[::1]:5050\"`"),
                );
            }
        },
        None => {
            if r.entry("address").is_none() {
                r.missing("address");
            }
        }
    }
    address
}

fn member(r: &mut Reader<'_, '_, '_, '_>, taken: &mut HashMap<SocketAddr, Span>) -> schema::Member {
    let address = address(r, taken);
    schema::Member {
        name: r.name(),
        address,
        zone: r
            .text("zone", "a zone's name")
            .map_or(String::new(), |zone| zone.text.into_owned()),
        weight: r.amount("weight", Dimension::Factor, or(ONE, MOST_FACTOR)),
        warm_up_ns: r.time(
            "warm-up",
            Bounds {
                default: Some(0),
                zero: true,
                most: LONGEST,
            },
        ),
    }
}

fn dependency(r: &mut Reader<'_, '_, '_, '_>) -> schema::Dependency {
    let words = [
        ("give-up", OnFailure::GiveUp),
        ("leave-out", OnFailure::LeaveOut),
        ("partial", OnFailure::Partial),
    ];
    schema::Dependency {
        name: r.name(),
        types: r.references("for", Sort::Type),
        share: r.share("share", must(ONE)),
        on_failure: r
            .word("on-failure", &words, None)
            .unwrap_or(OnFailure::Unspecified)
            .into(),
    }
}

fn limits(r: &mut Reader<'_, '_, '_, '_>) -> schema::Limits {
    let words = [
        ("all", Per::All),
        ("tenant", Per::Tenant),
        ("type", Per::Type),
        ("pool", Per::Pool),
    ];
    let rate = r.rate("rate");
    let default = u64::from(rate.is_some());
    schema::Limits {
        name: r.name(),
        rate,
        burst: r.amount("burst", Dimension::Tickets, or(default, 1 << 30)),
        at_once: r.amount("at-once", Dimension::Tickets, or(0, 1 << 30)),
        per: r
            .word("per", &words, Some(Per::All))
            .unwrap_or(Per::All)
            .into(),
    }
}

fn attempts(r: &mut Reader<'_, '_, '_, '_>) -> schema::Attempts {
    let words = [
        ("not-run", Proof::NotRun),
        ("mark", Proof::Mark),
        ("none", Proof::None),
    ];
    let wait = r.range(
        "wait",
        Dimension::Time,
        false,
        &Bounds {
            default: None,
            zero: true,
            most: LONGEST,
        },
    );
    let (least, most) = wait.unwrap_or((None, None));
    schema::Attempts {
        name: r.name(),
        tries: r.whole("tries", or(2, MOST_TRIES)),
        budget: r.share("budget", or(20 * PERCENT, ONE)),
        wait_least_ns: least.unwrap_or(10_000_000),
        wait_most_ns: most.unwrap_or(100_000_000),
        proof: r
            .word("proof", &words, Some(Proof::NotRun))
            .unwrap_or(Proof::NotRun)
            .into(),
    }
}

fn budget(r: &mut Reader<'_, '_, '_, '_>) -> schema::Budget {
    schema::Budget {
        name: r.name(),
        forward: stage(r, "forward"),
        queue: stage(r, "queue"),
        run: stage(r, "run"),
        call: stage(r, "call"),
        answer: stage(r, "answer"),
    }
}

/// A part of the goal time, or a time.
fn stage(r: &mut Reader<'_, '_, '_, '_>, key: &'static str) -> Option<schema::Stage> {
    let value = r.single(key)?;
    let is_share = value
        .atoms
        .last()
        .is_some_and(|atom| atom.kind == Leaf::Percent);
    if is_share {
        let share = r.share(key, must(ONE));
        return Some(schema::Stage { share, fixed_ns: 0 });
    }
    let fixed_ns = r.time(key, must(LONGEST));
    Some(schema::Stage { share: 0, fixed_ns })
}

fn health(r: &mut Reader<'_, '_, '_, '_>) -> schema::Health {
    let back = r.range(
        "back-after",
        Dimension::Time,
        false,
        &Bounds {
            default: None,
            zero: false,
            most: LONGEST,
        },
    );
    let (least, most) = back.unwrap_or((None, None));
    schema::Health {
        name: r.name(),
        out_after: r.amount("out-after", Dimension::Tickets, or(5, 1 << 20)),
        out_share: r.share("out-share", or(50 * PERCENT, ONE)),
        slow: r.amount("slow", Dimension::Factor, or(3 * ONE, 1_000 * ONE)),
        silent_ns: r.time("silent", or(2 * SECOND, LONGEST)),
        back_least_ns: least.unwrap_or(5 * SECOND),
        back_most_ns: most.unwrap_or(60 * SECOND),
        back_share: r.share("back-share", or(10 * PERCENT, ONE)),
        keep: r.share(
            "keep",
            Bounds {
                default: Some(50 * PERCENT),
                zero: true,
                most: ONE,
            },
        ),
    }
}

fn retry_after(r: &mut Reader<'_, '_, '_, '_>) -> schema::RetryAfter {
    let bounds = Bounds {
        default: None,
        zero: false,
        most: LONGEST,
    };
    let (least, most) = match r.range("bounds", Dimension::Time, false, &bounds) {
        Some(ends) => ends,
        None => {
            if r.entry("bounds").is_none() {
                r.missing("bounds");
            }
            (None, None)
        }
    };
    schema::RetryAfter {
        name: r.name(),
        least_ns: least.unwrap_or(0),
        most_ns: most.unwrap_or(0),
    }
}

fn log(r: &mut Reader<'_, '_, '_, '_>) -> schema::Log {
    let words = [("text", LogForm::Text), ("json", LogForm::Json)];
    let form = r
        .word("form", &words, Some(LogForm::Text))
        .unwrap_or(LogForm::Text);
    schema::Log {
        name: r.name(),
        form: form.into(),
    }
}

fn recording(r: &mut Reader<'_, '_, '_, '_>) -> schema::Recording {
    let folder = r.text("folder", "a folder such as `\"/var/lib/rainstand\"`");
    if folder.is_none() && r.entry("folder").is_none() {
        r.missing("folder");
    }
    schema::Recording {
        name: r.name(),
        folder: folder.map_or(String::new(), |folder| folder.text.into_owned()),
        file_bytes: r.amount("file-size", Dimension::Size, or(64 << 20, 1 << 40)),
        files: r.whole("files", or(8, 10_000)),
        links: r
            .word("links", &[("yes", true), ("no", false)], Some(false))
            .unwrap_or(false),
    }
}

fn route(r: &mut Reader<'_, '_, '_, '_>) -> schema::Route {
    r.holds = &["match"];
    let block = r.block();
    let mut matches = block
        .blocks
        .iter()
        .filter(|inner| inner.kind.text == "match");
    let first = matches.next();
    for second in matches {
        let finding = Finding::new(
            Code::TwoMatches,
            second.kind.at,
            "this route has a match already",
        );
        let first = first.map_or(block.at(), |first| first.kind.at);
        r.tell(finding.also(first, "the first one"));
    }
    let before = r.maker.findings.made();
    let matched = first.map(|inner| {
        let mut reader = Reader {
            maker: r.maker,
            chain: vec![inner],
            asked: Vec::new(),
            holds: &[],
        };
        let made = matching(&mut reader);
        reader.end();
        made
    });
    if r.maker.findings.made() > before {
        let at = r.maker.names[Sort::Route as usize]
            .get(r.name().as_str())
            .copied();
        r.maker.unsure.extend(at);
    }
    let words = [("entity", SplitBy::Entity), ("chance", SplitBy::Chance)];
    let to = targets(r);
    let split = r
        .word("split-by", &words, Some(SplitBy::Entity))
        .unwrap_or(SplitBy::Entity);
    schema::Route {
        name: r.name(),
        r#match: matched.filter(|made| *made != schema::Match::default()),
        split_by: if to.len() > 1 {
            split
        } else {
            SplitBy::Unspecified
        }
        .into(),
        to,
        fall_back: r.references("fall-back", Sort::Pool),
        limits: r.reference("limits", Sort::Limits),
        attempts: r.reference("attempts", Sort::Attempts),
        budget: r.reference("budget", Sort::Budget),
        retry_after: r.reference("retry-after", Sort::RetryAfter),
    }
}

fn matching(r: &mut Reader<'_, '_, '_, '_>) -> schema::Match {
    let mut entities = Vec::new();
    if let Some(entry) = r.entry("entity") {
        for value in &entry.values {
            let Some(name) = r.said("entity", value, "a text such as `\"NO-*\"`") else {
                continue;
            };
            let inner = name.text.strip_suffix('*').unwrap_or(&name.text);
            if inner.len() > LONGEST_PATTERN {
                let words = format!(
                    "a pattern is at most {LONGEST_PATTERN} bytes; this one has {}",
                    inner.len()
                );
                r.tell(Finding::new(Code::TooMuch, value.at, words));
            } else if inner.contains('*') || name.text.is_empty() {
                let words = format!("`{}` is no pattern", shorten(&name.text));
                let finding = Finding::new(Code::Pattern, value.at, words);
                r.tell(finding.help("a star stands at the end only, as in `\"NO-*\"`"));
            } else {
                entities.push((name.text.into_owned(), value.at));
            }
        }
        r.once_each("entity", &entities);
    }
    let words = [("yes", Again::FurtherTries), ("no", Again::FirstTries)];
    let before = r.maker.findings.made();
    let size = r.range(
        "size",
        Dimension::Size,
        true,
        &Bounds {
            default: None,
            zero: true,
            most: 1 << 50,
        },
    );
    let (least, most) = size.unwrap_or((None, None));
    if most == Some(0) && r.maker.findings.made() == before {
        let at = r.block().place("size");
        r.tell(Finding::new(
            Code::Zero,
            at,
            "`size` cannot end at zero: every ticket is larger",
        ));
    }
    schema::Match {
        types: r.references("type", Sort::Type),
        tenants: r.references("tenant", Sort::Tenant),
        entities: entities.into_iter().map(|(pattern, _)| pattern).collect(),
        again: r
            .word("again", &words, Some(Again::Unspecified))
            .unwrap_or(Again::Unspecified)
            .into(),
        size_least: least.unwrap_or(0),
        size_most: most.unwrap_or(0),
    }
}

/// `to: hall` or `to: hall 60 %, other 40 %`.
fn targets(r: &mut Reader<'_, '_, '_, '_>) -> Vec<schema::Target> {
    let Some(entry) = r.entry("to") else {
        r.missing("to");
        return Vec::new();
    };
    let mut found: Vec<(schema::Target, Span)> = Vec::new();
    let alone = entry.values.len() == 1;
    for value in &entry.values {
        let Some((first, rest)) = value.atoms.split_first() else {
            continue;
        };
        let Some(name) = first.said() else {
            let words = format!(
                "`to` wants the name of a pool, not `{}`",
                shorten(value.text)
            );
            r.tell(Finding::new(Code::NotName, value.at, words));
            continue;
        };
        let known = r.maker.known(Sort::Pool, &name).is_some();
        let share = if let Some(begin) = rest.first() {
            let at = Span {
                end: value.at.end,
                ..begin.at
            };
            let text = r.maker.sources.slice(at);
            r.within(
                "to",
                units::expect_of("to", Dimension::Share, rest, text, at),
                at,
                &must(ONE),
            )
        } else if alone {
            ONE
        } else {
            let words = format!(
                "`{}` has no share; a split gives one to each pool",
                shorten(value.text)
            );
            r.tell(Finding::new(Code::NoUnit, value.at, words).help("write `to: a 60 %, b 40 %`"));
            0
        };
        if known {
            found.push((
                schema::Target {
                    pool: name.text.into_owned(),
                    share,
                },
                value.at,
            ));
        }
    }
    let names: Vec<_> = found
        .iter()
        .map(|(target, at)| (target.pool.clone(), *at))
        .collect();
    r.once_each("to", &names);
    found.into_iter().map(|(target, _)| target).collect()
}
