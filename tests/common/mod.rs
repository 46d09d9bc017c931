//! A node with a host that writes down its orders.

use rainstand::{Arrival, Below, Gauges, Hand, Host, Ledger, Limit, Node, Outcome, Repeats, Say};
use rainstand::{TrafficType, Voice};
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Default)]
pub struct Orders(pub Vec<String>);

impl Host for Orders {
    fn run(&mut self, ticket: usize) {
        self.0.push(format!("run {ticket}"));
    }
    fn take_off(&mut self, ticket: usize) {
        self.0.push(format!("take_off {ticket}"));
    }
    fn reuse(&mut self, ticket: usize) {
        self.0.push(format!("reuse {ticket}"));
    }
    fn keep(&mut self, ticket: usize, span: Duration) {
        self.0.push(format!("keep {ticket} {}", span.as_millis()));
    }
    fn forget(&mut self, ticket: usize) {
        self.0.push(format!("forget {ticket}"));
    }
    fn dismiss(&mut self, ticket: usize, come_back: Duration, nowhere_else: bool) {
        let word = if nowhere_else { " nowhere_else" } else { "" };
        self.0.push(format!("dismiss {ticket} {}{word}", come_back.as_millis()));
    }
    fn give_up(&mut self, ticket: usize) {
        self.0.push(format!("give_up {ticket}"));
    }
    fn call(&mut self, ticket: usize, until: Duration) {
        self.0.push(format!("call {ticket} {}", until.as_millis()));
    }
    fn answer_poorer(&mut self, ticket: usize) {
        self.0.push(format!("answer_poorer {ticket}"));
    }
    fn say(&mut self, amount: f64) {
        self.0.push(format!("say {amount}"));
    }
    fn checks(&mut self, good: bool) {
        self.0.push(format!("checks {good}"));
    }
    fn close_idle_after(&mut self, span: Duration) {
        self.0.push(format!("close_idle_after {}", span.as_millis()));
    }
    fn wake(&mut self, _: Duration) {}
    fn over(&mut self, ticket: usize) {
        self.0.push(format!("over {ticket}"));
    }
}

/// Two cores, two tenants of one ticket a second over two servers, types by `Repeats`.
pub struct Rig {
    pub node: Node,
    pub orders: Orders,
    pub now: Duration,
    pub busy: f64,
}

pub struct Settings {
    pub repeats: Repeats,
    pub poorer: f64,
    pub factor: f64,
    pub cold: Option<(Duration, f64, Duration)>,
    pub memory_kb: f64,
    pub share: Option<(f64, Duration, Duration)>,
    pub marked: bool,
}

impl Default for Settings {
    fn default() -> Self {
        let (repeats, poorer, factor, cold) = (Repeats::Rerunnable, 0.0, 6.0, None);
        Self { repeats, poorer, factor, cold, memory_kb: 10_000.0, share: None, marked: true }
    }
}

impl Rig {
    pub fn new(s: Settings) -> Self {
        let kind = TrafficType {
            goal_time: ms(2_000),
            outer_limit: ms(5_000),
            benefit: 1.0,
            late: 0.0,
            poorer: s.poorer,
            repeats: s.repeats,
        };
        let parts = (
            Ledger::new(&[1.0, 1.0], 2),
            Limit::new(7, 2, s.factor, s.cold),
            Hand::new(s.memory_kb, 4.0, 10.0),
            Below::new(s.share),
            Voice::new(Say::Level, ms(1_000), ms(2_000), s.marked),
        );
        let node = Node::new(vec![kind], false, parts);
        let mut rig = Self { node, orders: Orders::default(), now: ms(10_000), busy: 1.0 };
        rig.node.begin(rig.now, &mut rig.orders);
        rig
    }

    pub fn arrive(&mut self, ix: usize, a: Arrival) {
        self.node.arrived(self.now, &mut self.orders, ix, Arrival { held_kb: 20.0, ..a });
    }

    pub fn tenant(&mut self, ix: usize, tenant: usize) {
        self.arrive(ix, Arrival { tenant: Some(tenant), ..Arrival::default() });
    }

    pub fn end(&mut self, ix: usize, outcome: Outcome) {
        self.node.ended(self.now, &mut self.orders, ix, outcome);
    }

    pub fn at_call(&mut self, ix: usize) {
        self.node.at_call(self.now, &mut self.orders, ix);
    }

    pub fn call_ended(&mut self, ix: usize, outcome: Outcome) {
        self.node.call_ended(self.now, &mut self.orders, ix, outcome);
    }

    /// Time passes in beats of 20 ms, each with the gauge.
    pub fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += ms(20);
            let gauges = Gauges { cores_busy: Some(self.busy), ..Gauges::default() };
            self.node.woken(self.now, &mut self.orders, gauges);
        }
    }

    /// The orders since the last look.
    pub fn take(&mut self) -> Vec<String> {
        std::mem::take(&mut self.orders.0)
    }

    /// How many orders since the last look begin so.
    pub fn count(&mut self, order: &str) -> usize {
        let orders = self.take();
        orders.iter().filter(|o| o.starts_with(order)).count()
    }
}
