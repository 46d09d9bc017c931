//! The stable codes of findings, and what each means, with a small wrong and right example.
//!
//! A code keeps its meaning for ever; one that is no longer reported is not used again. Every example is
//! tested: the wrong one gives its code, the right one gives no finding at all.

/// How bad a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration is refused.
    Error,
    /// The configuration is accepted, but somebody should look at it.
    Warning,
}

/// Lines of a file, under its `rain 1`, that show what a code means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Examples {
    /// Lines that give the code.
    pub wrong: &'static str,
    /// Similar lines that give no finding.
    pub right: &'static str,
}

macro_rules! codes {
    ($($name:ident $id:literal $title:literal $explanation:literal wrong $wrong:expr, right $right:expr;)*) => {
        /// The kind of a finding.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code { $(#[doc = $title] $name),* }

        impl Code {
            /// All codes, in the order of their ids.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Its stable id, such as `U202`.
            pub fn id(self) -> &'static str {
                match self { $(Code::$name => $id),* }
            }

            /// What is wrong, in a few words.
            pub fn title(self) -> &'static str {
                match self { $(Code::$name => $title),* }
            }

            /// Why it is wrong, or what to do.
            pub fn explanation(self) -> &'static str {
                match self { $(Code::$name => $explanation),* }
            }

            /// A wrong and a right example; both empty where it takes files.
            pub fn examples(self) -> Examples {
                match self { $(Code::$name => Examples { wrong: $wrong, right: $right }),* }
            }
        }
    };
}

impl Code {
    /// Whether findings of the code are errors or warnings.
    pub fn severity(self) -> Severity {
        if self.id().starts_with('W') {
            Severity::Warning
        } else {
            Severity::Error
        }
    }

    /// The code of an id, in any case of letters.
    pub fn find(id: &str) -> Option<Code> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.id().eq_ignore_ascii_case(id))
    }
}

/// A complete configuration with some lines more, so that a right example gives no finding.
macro_rules! complete {
    ($($more:literal)*) => {
        concat!(
            "type check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }\n",
            "type register { repeat: exclusive; goal: 2 s; outer-limit: 6 s }\n",
            "tenant acme { share: 60 %; quota: 30 tickets/s }\n",
            "pool hall { member n1 { address: \"10.0.0.1:5050\" } }\n",
            $($more, "\n"),*
        )
    };
}

codes! {
    Missing "S001" "file not there"
        "An included file, or the first one, does not exist. Paths are relative to the file that includes."
        wrong "include \"pols.rain\"\n", right "# include \"pools.rain\", if that is the file's name\n";
    Unreadable "S002" "file cannot be read"
        "It exists, but is a folder or a device, or the system refuses to open it."
        wrong "", right "";
    TooLarge "S003" "file too large"
        "A file of over 16 MiB is no configuration, and reading it would take the memory of something else."
        wrong "", right "";
    NotUtf8 "S004" "not UTF-8"
        "Texts and comments may hold any character, but the file must be UTF-8."
        wrong "", right "";
    Ring "S005" "files include each other in a ring"
        "The chain is shown whole. Move what both need into a third file."
        wrong "include \"example.rain\"\n", right "# a file does not include itself\n";
    Outside "S006" "path out of the configuration's folder"
        "A configuration is one folder, so that it can be reviewed, copied and kept as one."
        wrong "include \"../shared.rain\"\n", right "# include \"shared.rain\", beside this file\n";
    TooManyFiles "S007" "too many files"
        "At most 2,000 files and 64 MiB are read, so that no input can take all memory."
        wrong "", right "";

    Character "P101" "a character that means nothing"
        "Outside texts and comments only ASCII is read. A name with other letters is written as a text."
        wrong "tenant £ { }\n", right "tenant \"£\" { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    OpenText "P102" "a text without its end"
        "A text ends on the line on which it begins."
        wrong "tenant \"acme { share: 10 % }\n", right "tenant \"acme\" { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    Expected "P103" "something else was expected"
        "The message says what could stand there. Reading goes on at the next line."
        wrong "tenant acme beta { share: 10 % }\n", right "tenant acme { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    NotClosed "P104" "a block without its end"
        "The second mark shows where it was opened."
        wrong "tenant acme {\n", right "tenant acme { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    StrayBrace "P105" "a brace too many"
        "No block is open here."
        wrong "}\n", right "";
    TooDeep "P106" "blocks nest too deep"
        "The language needs two levels; eight are read."
        wrong "a { a { a { a { a { a { a { a { a { } } } } } } } } }\n", right "pool p { member a { address: \"10.0.0.1:1\" } }\nroute r { to: p }\n";
    NoValue "P107" "a key without a value"
        "Leave the entry out to get its default."
        wrong "tenant acme { share: }\n", right "tenant acme { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    NoColon "P108" "neither an entry nor a block"
        "A word alone, or a word and a number: an entry has a colon, a block has braces."
        wrong "tenant acme { share 10 % }\n", right "tenant acme { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    NoName "P109" "a name is missing"
        "Every block but `match` has a name, by which others and messages refer to it."
        wrong "tenant { share: 10 % }\n", right "tenant acme { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    NoVersion "P110" "no version"
        "The first line tells in which version of the language the file is written, so that it keeps its meaning."
        wrong "", right "";
    Version "P111" "unknown version"
        "A newer program wrote it, or it is a slip."
        wrong "", right "";
    TooMany "P112" "too many findings"
        "Only the first 200 syntax errors of a file and 5,000 findings in all are told: it is probably no configuration."
        wrong "", right "";
    Escape "P113" "an unknown escape"
        "In a text, `\\\"` is a quote and `\\\\` a backslash; nothing else is escaped."
        wrong "tenant \"a\\n\" { share: 10 % }\n", right "tenant \"a\\\\n\" { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    EntryOutside "P114" "an entry in no block"
        "At the top of a file stand blocks and includes only."
        wrong "goal: 3 s\n", right "";

    NoUnit "U201" "a number without its unit"
        "Units are written out: `250` could be seconds, milliseconds or tickets."
        wrong "limits l { burst: 12 }\n", right complete!("limits l { rate: 9 tickets/s; burst: 12 tickets }" "route r { to: hall; limits: l }");
    WrongUnit "U202" "another kind of amount"
        "A rate stands where a time belongs, or the like. Nothing is converted."
        wrong "type t { repeat: rerunnable; goal: 40 tickets/s; outer-limit: 7 s }\n", right complete!("route r { to: hall }");
    UnknownUnit "U203" "unknown unit"
        "Times are in ns, us, ms, s, min, h; sizes in B, KiB, MiB, GiB, TiB; shares in %; rates in tickets/s, tickets/min, tickets/h."
        wrong "limits l { rate: 40 requests/s }\n", right complete!("limits l { rate: 40 tickets/s }" "route r { to: hall; limits: l }");
    Zero "U204" "a zero that makes no sense"
        "A goal time of nothing, or a limit that lets nothing through: leave the entry out, or remove the route."
        wrong "limits l { rate: 0 tickets/s }\n", right complete!("limits l { rate: 1 tickets/s }" "route r { to: hall; limits: l }");
    Negative "U205" "less than nothing"
        "No amount in a configuration is negative."
        wrong "limits l { at-once: -5 tickets }\n", right complete!("limits l { at-once: 5 tickets }" "route r { to: hall; limits: l }");
    Overflow "U206" "more than can be counted"
        "Times reach 584 years in nanoseconds; everything else fits 64 bits too."
        wrong "limits l { burst: 99999999999999999999 tickets }\n", right complete!("limits l { rate: 9 tickets/s; burst: 9999 tickets }" "route r { to: hall; limits: l }");
    Digits "U207" "digits would be lost"
        "The amount is finer than the smallest step in which it is kept. It is refused, not rounded."
        wrong "limits l { burst: 1.5 tickets }\n", right complete!("limits l { rate: 9 tickets/s; burst: 2 tickets }" "route r { to: hall; limits: l }");
    Sum "U208" "a sum"
        "An amount is one number and one unit, so that two files can be compared line by line."
        wrong "type t { repeat: rerunnable; goal: 2 s + 300 ms; outer-limit: 7 s }\n", right complete!("route r { to: hall }");
    TooMuch "U209" "over its bound"
        "A share over 100 %, more tries than anything needs, a time beyond all waiting."
        wrong "tenant t { share: 130 % }\n", right "tenant t { share: 30 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    RangeOrder "U210" "a range the wrong way round"
        "The smaller end comes first."
        wrong "retry-after r { bounds: 2 s .. 1 s }\n", right complete!("retry-after r { bounds: 1 s .. 2 s }" "route q { to: hall; retry-after: r }");
    RangeHere "U211" "a range where one amount belongs"
        "Only `wait`, `bounds`, `back-after` and `size` are ranges."
        wrong "type t { repeat: rerunnable; goal: 1 s .. 2 s; outer-limit: 7 s }\n", right complete!("route r { to: hall }");
    NoRange "U212" "one amount where a range belongs"
        "Write both ends with `..` between them."
        wrong "attempts a { wait: 20 ms }\n", right complete!("attempts a { wait: 20 ms .. 80 ms }" "route r { match { type: check }; to: hall; attempts: a }" "route rest { to: hall }");
    NoNumber "U213" "a word where an amount belongs"
        "The message names what is wanted."
        wrong "limits l { rate: fast }\n", right complete!("limits l { rate: 50 tickets/s }" "route r { to: hall; limits: l }");
    NotOne "U214" "more than one amount"
        "A number is followed by its unit and nothing else."
        wrong "limits l { rate: 5 tickets/s 6 }\n", right complete!("limits l { rate: 50 tickets/s }" "route r { to: hall; limits: l }");

    UnknownKind "N301" "unknown kind of block"
        "Blocks are type, tenant, pool, dependency, limits, attempts, budget, health, retry-after, route, recording, log, experiment, group and rig."
        wrong "pol hall { }\n", right complete!("route r { to: hall }");
    UnknownKey "N302" "unknown key"
        "A key that is not known is refused, since a slip would otherwise do nothing in silence."
        wrong "tenant t { shar: 10 % }\n", right "tenant t { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    KeyTwice "N303" "a key given twice"
        "The second mark shows the first one."
        wrong "tenant t { share: 10 %; share: 20 % }\n", right "tenant t { share: 20 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    NameTwice "N304" "a name defined twice"
        "Two blocks of one kind have the same name, perhaps in two files."
        wrong "tenant t { share: 10 % }\ntenant t { share: 20 % }\n", right "tenant t { share: 10 % }\ntenant u { share: 20 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    UnknownName "N305" "unknown name"
        "What it refers to is not defined in any of the files. The nearest name is offered."
        wrong "route r { to: hal }\npool hall { member a { address: \"10.0.0.1:1\" } }\n", right "route r { to: hall }\npool hall { member a { address: \"10.0.0.1:1\" } }\n";
    KeyMissing "N306" "a key is missing"
        "It has no default that would be right for everybody."
        wrong "type t { repeat: rerunnable; goal: 3 s }\n", right complete!("route r { to: hall }");
    UnknownWord "N307" "unknown word"
        "The message lists what can stand there."
        wrong "type t { repeat: always; goal: 3 s; outer-limit: 7 s }\n", right complete!("route r { to: hall }");
    ListHere "N308" "a list where one value belongs"
        "Only `type`, `tenant`, `entity`, `to`, `fall-back` of a route and `for` take several."
        wrong "tenant t { share: 10 %, 20 % }\n", right "tenant t { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    ItemTwice "N309" "a list names something twice"
        "The second time does nothing, or was meant to be something else."
        wrong "route r { to: hall; fall-back: b, b }\npool hall { member a { address: \"10.0.0.1:1\" } }\npool b { member a { address: \"10.0.0.2:1\" } }\n", right "route r { to: hall; fall-back: b }\npool hall { member a { address: \"10.0.0.1:1\" } }\npool b { member a { address: \"10.0.0.2:1\" } }\n";
    BaseRing "N310" "policies built on each other in a ring"
        "The chain is shown. One of them must stand on its own."
        wrong "limits a from b { }\nlimits b from a { }\n", right complete!("limits a from b { }" "limits b { rate: 50 tickets/s }" "route r { to: hall; limits: a }");
    NoBase "N311" "cannot be built on another"
        "Only policies can: limits, attempts, budget, health and retry-after."
        wrong "tenant a from b { share: 10 % }\ntenant b { share: 10 % }\n", right "tenant a { share: 10 % }\ntenant b { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    BlockHere "N312" "a block that does not belong here"
        "Pools hold members, routes hold one `match`; no other block holds blocks."
        wrong "tenant t { share: 10 %; match { type: a } }\n", right "tenant t { share: 10 % }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    Address "N313" "no address and port"
        "Addresses are numbers, since names are not looked up: `\"10.0.0.1:5050\"` or `\"[::1]:5050\"`."
        wrong "pool p { member a { address: \"n1.hall:5050\" } }\n", right "pool p { member a { address: \"10.0.0.1:5050\" } }\nroute r { to: p }\n";
    AddressTwice "N314" "an address given twice"
        "Two members of one pool are the same node; it would get two members' traffic."
        wrong "pool p { member a { address: \"10.0.0.1:1\" }; member b { address: \"10.0.0.1:1\" } }\n", right "pool p { member a { address: \"10.0.0.1:1\" }; member b { address: \"10.0.0.2:1\" } }\nroute r { to: p }\n";
    Pattern "N315" "a pattern that is not known"
        "An entity is matched whole, or by its beginning: `\"NO-*\"`. A star stands at the end only."
        wrong "route r { match { entity: \"NO-*-9\" }; to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n", right "route r { match { entity: \"NO-*\" }; to: p }\nroute s { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    NotName "N316" "a name is wanted"
        "An amount or a mark stands where a name belongs."
        wrong "route r { to: 5 s }\n", right "route r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    TwoMatches "N317" "two match blocks"
        "A route has one match; what it lists is joined by `and`, items of one list by `or`."
        wrong "route r { match { again: yes }; match { again: no }; to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n", right "route r { match { again: yes }; to: p }\nroute s { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    BaseDeep "N319" "policies built on each other too deep"
        "A policy can stand on at most 16 others, one on the next: further down nobody could tell what it says."
        wrong "", right "";
    TooManyThings "N318" "more than can be told apart"
        "At most 65,000 blocks of one kind: they are told apart by small numbers while tickets run."
        wrong "", right "";

    Hidden "M401" "a route that no ticket can reach"
        "Routes are tried in order and the first that matches wins; earlier ones take all that this one matches."
        wrong "route a { to: p }\nroute b { match { again: yes }; to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n", right "route b { match { again: yes }; to: p }\nroute a { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    ExclusiveRepeat "M402" "an exclusive type would be repeated without proof"
        "Rule 2: what may have run is never run again. Only proof that nothing ran (`proof: not-run`) allows a further try."
        wrong complete!("attempts twice { tries: 2; proof: none }" "route r { to: hall; attempts: twice }"), right complete!("attempts twice { tries: 2; proof: not-run }" "route r { to: hall; attempts: twice }");
    TicketedRepeat "M403" "a ticketed type would be repeated without its mark"
        "Rule 2: a repeat of a ticketed ticket goes under its mark, or where it is proved that nothing ran."
        wrong complete!("type k { repeat: ticketed 9 s; goal: 1 s; outer-limit: 5 s }" "attempts twice { tries: 2; proof: none }" "route r { match { type: k }; to: hall; attempts: twice }" "route rest { to: hall }"), right complete!("type k { repeat: ticketed 9 s; goal: 1 s; outer-limit: 5 s }" "attempts twice { tries: 2; proof: mark }" "route r { match { type: k }; to: hall; attempts: twice }" "route rest { to: hall }");
    Window "M404" "the window ends before the ticket may"
        "A repeat could come after the mark is forgotten while the first try still runs. The window reaches past the outer limit."
        wrong "type k { repeat: ticketed 2 s; goal: 1 s; outer-limit: 5 s }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n", right "type k { repeat: ticketed 5 s; goal: 1 s; outer-limit: 5 s }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    GoalPastLimit "M405" "the goal time lies past the outer limit"
        "Rule 1: one final answer before the due time. A goal past it could never be met."
        wrong "type k { repeat: rerunnable; goal: 8 s; outer-limit: 5 s }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n", right "type k { repeat: rerunnable; goal: 4 s; outer-limit: 5 s }\nroute r { to: p }\npool p { member a { address: \"10.0.0.1:1\" } }\n";
    BudgetTooLong "M406" "the stages do not fit the time there is"
        "All stages together must fit the goal time of each type that the budget is used for, else the last stage has nothing left."
        wrong complete!("budget b { queue: 50 %; run: 2500 ms }" "route r { to: hall; budget: b }"), right complete!("budget b { queue: 25 %; run: 1500 ms }" "route r { to: hall; budget: b }");
    AttemptsMultiply "M407" "attempts at two stages multiply"
        "The route and the pool both repeat: three tries each are nine tries of one ticket when all goes badly."
        wrong complete!("attempts a { tries: 3 }" "pool far { attempts: a; member n2 { address: \"10.0.0.2:1\" } }" "route r { to: far; attempts: a }" "route s { match { again: yes }; to: hall }"), right complete!("attempts a { tries: 3 }" "route r { to: hall; attempts: a }");
    PoolTooSmall "M408" "a pool's limit is less than its tenants' quotas"
        "Tenants whose every ticket goes to this pool were promised more, together, than the pool lets in."
        wrong complete!("limits l { rate: 20 tickets/s }" "pool small { limits: l; member n2 { address: \"10.0.0.2:1\" } }" "route r { to: small; fall-back: hall }"), right complete!("limits l { rate: 40 tickets/s }" "pool large { limits: l; member n2 { address: \"10.0.0.2:1\" } }" "route r { to: large; fall-back: hall }");
    FallBackRing "M409" "pools fall back on each other in a ring"
        "A ticket could go round while all of them are down. The chain is shown."
        wrong "pool a { fall-back: b; member n { address: \"10.0.0.1:1\" } }\npool b { fall-back: a; member n { address: \"10.0.0.2:1\" } }\nroute r { to: a }\n", right "pool a { fall-back: b; member n { address: \"10.0.0.1:1\" } }\npool b { member n { address: \"10.0.0.2:1\" } }\nroute r { to: a }\n";
    SplitSum "M410" "shares of a split are not 100 %"
        "What is left over would go nowhere, what is too much is a slip."
        wrong "route r { to: a 60 %, b 30 % }\npool a { member n { address: \"10.0.0.1:1\" } }\npool b { member n { address: \"10.0.0.2:1\" } }\n", right "route r { to: a 60 %, b 40 % }\npool a { member n { address: \"10.0.0.1:1\" } }\npool b { member n { address: \"10.0.0.2:1\" } }\n";
    TenantShares "M411" "tenants' shares are over 100 %"
        "More was promised than there is."
        wrong "tenant a { share: 60 % }\ntenant b { share: 50 % }\nroute r { to: p }\npool p { member n { address: \"10.0.0.1:1\" } }\n", right "tenant a { share: 60 % }\ntenant b { share: 40 % }\nroute r { to: p }\npool p { member n { address: \"10.0.0.1:1\" } }\n";
    FallBackSelf "M412" "falls back on where the ticket already went"
        "A fall-back that is the target itself does nothing when it is down."
        wrong "route r { to: p; fall-back: p }\npool p { member n { address: \"10.0.0.1:1\" } }\n", right "route r { to: p; fall-back: q }\npool p { member n { address: \"10.0.0.1:1\" } }\npool q { member n { address: \"10.0.0.2:1\" } }\n";
    AllOut "M413" "health could leave out every member"
        "Rule 4: nothing falls over. If all members could be left out, one bad reading ends the service."
        wrong "health h { keep: 0 % }\npool p { health: h; member n { address: \"10.0.0.1:1\" } }\nroute r { to: p }\n", right "health h { keep: 50 % }\npool p { health: h; member n { address: \"10.0.0.1:1\" } }\nroute r { to: p }\n";
    WaitsTooLong "M414" "waits leave no time for a further try"
        "The longest waits between all tries are over the goal time of a type that they are used for."
        wrong complete!("attempts a { tries: 4; wait: 500 ms .. 1 s }" "route r { to: hall; attempts: a }"), right complete!("attempts a { tries: 2; wait: 500 ms .. 1 s }" "route r { to: hall; attempts: a }");
    NoMembers "M415" "a pool without members"
        "Every ticket sent there would be dismissed."
        wrong "pool p { }\nroute r { to: p }\n", right "pool p { member n { address: \"10.0.0.1:1\" } }\nroute r { to: p }\n";
    DependencyShares "M416" "dependencies take more than the ticket's time"
        "The shares of all dependencies of one type are over 100 %."
        wrong "dependency a { share: 60 %; on-failure: give-up }\ndependency b { share: 50 %; on-failure: give-up }\ntype t { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }\nroute r { to: p }\npool p { member n { address: \"10.0.0.1:1\" } }\n", right "dependency a { share: 50 %; on-failure: give-up }\ndependency b { share: 30 %; on-failure: give-up }\ntype t { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }\nroute r { to: p }\npool p { member n { address: \"10.0.0.1:1\" } }\n";
    PartialExclusive "M417" "a partial answer could hide an effect"
        "An exclusive or ticketed ticket never gets a partial answer: it would hide whether the effect took place."
        wrong complete!("dependency d { for: register; share: 40 %; on-failure: partial }" "route r { to: hall }"), right complete!("dependency d { for: check; share: 40 %; on-failure: partial }" "route r { to: hall }");
    BudgetEmpty "M418" "a budget of no stage"
        "It says nothing about any stage; leave it out."
        wrong complete!("budget b { }" "route r { to: hall; budget: b }"), right complete!("budget b { queue: 25 % }" "route r { to: hall; budget: b }");
    LimitEmpty "M419" "limits that limit nothing"
        "Neither a rate nor tickets at once are given."
        wrong complete!("limits l { per: tenant }" "route r { to: hall; limits: l }"), right complete!("limits l { per: tenant; at-once: 9 tickets }" "route r { to: hall; limits: l }");
    BurstAlone "M420" "a burst without a rate"
        "A burst is what a rate lets through at once; without a rate it means nothing."
        wrong complete!("limits l { burst: 5 tickets; at-once: 9 tickets }" "route r { to: hall; limits: l }"), right complete!("limits l { burst: 5 tickets; rate: 9 tickets/s }" "route r { to: hall; limits: l }");

    GroupSize "M421" "copies that make no majority"
        "A shard has 3, 5 or 7 copies, each on a member of its own: an even number survives no more losses than the odd one below it."
        wrong "group g { copies: 2; member n1 { address: \"10.0.0.1:1\"; folder: \"/a\" }; member n2 { address: \"10.0.0.2:1\"; folder: \"/a\" } }\n", right "group g { member n1 { address: \"10.0.0.1:1\"; folder: \"/a\" }; member n2 { address: \"10.0.0.2:1\"; folder: \"/a\" }; member n3 { address: \"10.0.0.3:1\"; folder: \"/a\" } }\n";
    ElectionTimes "M422" "elections would not wait for the heartbeat"
        "A follower that waits less than four heartbeats deposes leaders that are well, whenever one heartbeat is late."
        wrong "group g { heartbeat: 100 ms; election: 200 ms .. 400 ms; member n1 { address: \"10.0.0.1:1\"; folder: \"/a\" }; member n2 { address: \"10.0.0.2:1\"; folder: \"/a\" }; member n3 { address: \"10.0.0.3:1\"; folder: \"/a\" } }\n", right "group g { heartbeat: 50 ms; election: 200 ms .. 400 ms; member n1 { address: \"10.0.0.1:1\"; folder: \"/a\" }; member n2 { address: \"10.0.0.2:1\"; folder: \"/a\" }; member n3 { address: \"10.0.0.3:1\"; folder: \"/a\" } }\n";
    OneGroup "M423" "a second group"
        "A node keeps copies with one group at most."
        wrong "group a { member n1 { address: \"10.0.0.1:1\"; folder: \"/a\" }; member n2 { address: \"10.0.0.2:1\"; folder: \"/a\" }; member n3 { address: \"10.0.0.3:1\"; folder: \"/a\" } }\ngroup b { member n1 { address: \"10.0.0.1:1\"; folder: \"/a\" }; member n2 { address: \"10.0.0.2:1\"; folder: \"/a\" }; member n3 { address: \"10.0.0.3:1\"; folder: \"/a\" } }\n", right "group a { member n1 { address: \"10.0.0.1:1\"; folder: \"/a\" }; member n2 { address: \"10.0.0.2:1\"; folder: \"/a\" }; member n3 { address: \"10.0.0.3:1\"; folder: \"/a\" } }\n";

    OneControl "M424" "a second control block"
        "A process is attached to one control group: two could tell it different versions of one configuration."
        wrong "control a { member c1 { address: \"10.0.0.1:1\" } }\ncontrol b { member c1 { address: \"10.0.0.1:1\" } }\n", right "control a { member c1 { address: \"10.0.0.1:1\" }; member c2 { address: \"10.0.0.2:1\" } }\n";
    ControlEmpty "M425" "a control block without a machine"
        "It would never hear of a new version; leave the block out to have none."
        wrong "control a { folder: \"/a\" }\n", right "control a { folder: \"/a\"; member c1 { region: north; zone: n1; address: \"10.0.0.1:1\" } }\n";

    KnownPart "M426" "ticketed tickets in a pool that each forwarder knows in part"
        "A repeat goes to the member that may have run the ticket. With `know` another forwarder may not know that member, and would have it run twice."
        wrong "type t { repeat: ticketed 9 s; goal: 3 s; outer-limit: 7 s }\npool p { keys: own; know: 1; member a { address: \"10.0.0.1:1\" }; member b { address: \"10.0.0.2:1\" } }\nroute r { to: p }\n", right "type t { repeat: ticketed 9 s; goal: 3 s; outer-limit: 7 s }\npool p { keys: shared; know: 1; member a { address: \"10.0.0.1:1\" }; member b { address: \"10.0.0.2:1\" } }\nroute r { to: p }\n";

    SiteMajority "W506" "the loss of one site takes a majority"
        "A site with half of the members or more holds the majority of some shard, whatever the layout: with it the group loses its keyed tickets."
        wrong "group g { member n1 { site: a; address: \"10.0.0.1:1\"; folder: \"/a\" }; member n2 { site: a; address: \"10.0.0.2:1\"; folder: \"/a\" }; member n3 { site: b; address: \"10.0.0.3:1\"; folder: \"/a\" } }\n", right "group g { member n1 { site: a; address: \"10.0.0.1:1\"; folder: \"/a\" }; member n2 { site: b; address: \"10.0.0.2:1\"; folder: \"/a\" }; member n3 { site: c; address: \"10.0.0.3:1\"; folder: \"/a\" } }\n";
    UnusedPolicy "W501" "a policy that nobody uses"
        "Nothing refers to it: a left-over, or a reference was forgotten."
        wrong complete!("limits l { rate: 9 tickets/s }" "route r { to: hall }"), right complete!("limits l { rate: 9 tickets/s }" "route r { to: hall; limits: l }");
    UnusedPool "W502" "a pool that no route leads to"
        "Its members get no ticket."
        wrong complete!("pool far { member n2 { address: \"10.0.0.2:1\" } }" "route r { to: hall }"), right complete!("pool far { member n2 { address: \"10.0.0.2:1\" } }" "route r { to: hall; fall-back: far }");
    NoRoute "W503" "tickets that no route takes"
        "They are dismissed. A last route without a match takes what is left."
        wrong complete!("route r { match { type: check }; to: hall }"), right complete!("route r { match { type: check }; to: hall }" "route rest { to: hall }");
    OneEntity "W504" "a split by chance parts what belongs together"
        "The route matches by entity, but splits by chance: tickets of one entity go to several pools."
        wrong complete!("pool far { member n2 { address: \"10.0.0.2:1\" } }" "route r { match { entity: \"NO-*\" }; to: hall 50 %, far 50 %; split-by: chance }" "route rest { to: hall }"), right complete!("pool far { member n2 { address: \"10.0.0.2:1\" } }" "route r { match { entity: \"NO-*\" }; to: hall 50 %, far 50 %; split-by: entity }" "route rest { to: hall }");
    TooManyRoutes "W505" "not all routes were compared"
        "Looking for hidden routes is bounded in time; past the bound a route may be hidden and nobody told."
        wrong "", right "";
    OwnMember "W507" "ticketed tickets that only one member may take"
        "Each ticketed ticket goes to one member of the pool, by its mark, and so do its repeats: only that member knows what it ran. While it is away they are dismissed, for the window after it left, too. `keys: own` says that this is meant, `keys: shared` that the members are nodes of one group."
        wrong "type t { repeat: ticketed 9 s; goal: 3 s; outer-limit: 7 s }\npool p { member a { address: \"10.0.0.1:1\" }; member b { address: \"10.0.0.2:1\" } }\nroute r { to: p }\n", right "type t { repeat: ticketed 9 s; goal: 3 s; outer-limit: 7 s }\npool p { keys: own; member a { address: \"10.0.0.1:1\" }; member b { address: \"10.0.0.2:1\" } }\nroute r { to: p }\n";
}
