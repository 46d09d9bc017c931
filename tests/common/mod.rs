//! A node with a host that writes down its orders.
#![allow(dead_code)] // no file of tests uses all of it

use rainstand::{
    AdmissionController, AdvertiserOptions, Arrival, ClientConnections, ColdStart, Components,
    ConcurrencyLimiter, DownstreamLimiter, DownstreamShare, Gauges, Host, InFlightRequests,
    LoadSignal, Outcome, Rejection, Repeatability, RetryElsewhere, TenantQuotas,
};
use rainstand::{LoadAdvertiser, RequestClass};
use std::time::Duration;

/// A share of the downstream tier, for settings.
pub fn shared(concurrency: f64, window: Duration, linger: Duration) -> Option<DownstreamShare> {
    Some(DownstreamShare {
        concurrency,
        window,
        linger,
    })
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Default)]
pub struct Orders(pub Vec<String>);

macro_rules! notes {
    ($($order:ident($($arg:ident: $kind:ty),*) $text:literal $(($($value:expr),*))?;)*) => {
        impl Host for Orders {
            $(fn $order(&mut self, $($arg: $kind),*) { self.0.push(format!($text $(, $($value),*)?)); })*
            fn wake(&mut self, _: Duration) {}
        }
    };
}

notes! {
    run(t: usize) "run {t}";
    cancel_run(t: usize) "cancel_run {t}";
    reply_from_cache(t: usize) "reply_from_cache {t}";
    cache_result(t: usize, span: Duration) "cache_result {t} {}" (span.as_millis());
    discard_result(t: usize) "discard_result {t}";
    reject(t: usize, rejection: Rejection) "reject {t} {}{}" (rejection.retry_after.as_millis(), terminal(rejection));
    fail(t: usize) "fail {t}";
    call_downstream(t: usize, deadline: Duration) "call_downstream {t} {}" (deadline.as_millis());
    reply_degraded(t: usize) "reply_degraded {t}";
    advertise_load(amount: f64) "advertise_load {amount}";
    set_health(good: bool) "set_health {good}";
    close_idle_after(span: Duration) "close_idle_after {}" (span.as_millis());
    release(t: usize) "release {t}";
}

fn terminal(rejection: Rejection) -> &'static str {
    match rejection.retry_elsewhere {
        RetryElsewhere::Allowed => "",
        RetryElsewhere::Discouraged => " terminal",
    }
}

/// Two cores, two tenants of one request a second over two servers, types by `Repeats`.
pub struct Rig {
    pub node: AdmissionController,
    pub orders: Orders,
    pub now: Duration,
    pub busy: f64,
    pub links: f64,
    /// All that wants a core, where the gauge tells.
    pub on_cores: Option<f64>,
}

pub struct Settings {
    pub quotas: &'static [f64],
    pub servers: usize,
    pub cores: usize,
    pub repeats: Repeatability,
    pub degraded_share: f64,
    pub factor: f64,
    pub cold: Option<ColdStart>,
    pub memory_kb: f64,
    pub share: Option<DownstreamShare>,
    pub marked: bool,
    pub callers: usize,
    /// A second request class, of three times the value, that is nothing without its call.
    pub dear: bool,
}

impl Default for Settings {
    fn default() -> Self {
        let (quotas, servers, cores, repeats) = (&[1.0, 1.0], 2, 2, Repeatability::Idempotent);
        let (degraded_share, factor, cold, memory_kb, share, marked) =
            (0.0, 6.0, None, 10_000.0, None, true);
        let (callers, dear) = (900, false);
        Self {
            quotas,
            servers,
            cores,
            repeats,
            degraded_share,
            factor,
            cold,
            memory_kb,
            share,
            marked,
            callers,
            dear,
        }
    }
}

impl Rig {
    /// A module with these settings, not begun.
    pub fn module(s: Settings) -> AdmissionController {
        let (latency_objective, deadline, degraded_share, repeats) =
            (ms(2_000), ms(5_000), s.degraded_share, s.repeats);
        let kind = RequestClass {
            latency_objective,
            deadline,
            value: 1.0,
            late_share: 0.0,
            degraded_share,
            repeatability: repeats,
        };
        let components = Components {
            quotas: TenantQuotas::new(s.quotas, s.servers),
            limiter: ConcurrencyLimiter::new(7, s.cores, s.factor, s.cold),
            in_flight: InFlightRequests::new(s.memory_kb, 4.0, 10.0),
            downstream: DownstreamLimiter::new(s.share),
            advertiser: LoadAdvertiser::new(AdvertiserOptions {
                signal: LoadSignal::Level,
                max_retry_after: ms(1_000),
                drain_grace: ms(2_000),
                retries_marked: s.marked,
                clients: ClientConnections {
                    callers: s.callers,
                    idle_timeout: ms(30_000),
                },
            }),
        };
        let mut types = vec![kind];
        if s.dear {
            types.push(RequestClass {
                value: 3.0,
                degraded_share: 0.0,
                ..types[0]
            });
        }
        AdmissionController::new(types, false, components)
    }

    pub fn new(s: Settings) -> Self {
        let node = Self::module(s);
        let mut rig = Self {
            node,
            orders: Orders::default(),
            now: ms(10_000),
            busy: 1.0,
            links: 0.0,
            on_cores: None,
        };
        rig.node.begin(rig.now, &mut rig.orders);
        rig
    }

    pub fn arrive(&mut self, ix: usize, a: Arrival) {
        self.node.on_arrival(
            self.now,
            &mut self.orders,
            ix,
            &Arrival { held_kb: 20.0, ..a },
        );
    }

    pub fn tenant(&mut self, ix: usize, tenant: usize) {
        self.arrive(
            ix,
            Arrival {
                tenant: Some(tenant),
                ..Arrival::default()
            },
        );
    }

    pub fn end(&mut self, ix: usize, outcome: Outcome) {
        self.node
            .on_run_finished(self.now, &mut self.orders, ix, outcome);
    }

    pub fn at(mut self, busy: f64) -> Self {
        self.busy = busy;
        self
    }

    /// The gauge changes, and the orders that brings are passed over.
    pub fn gauge(&mut self, busy: f64) {
        self.busy = busy;
        self.pass(ms(20));
        self.take();
    }

    pub fn calling(&mut self, ix: usize, tenant: usize) {
        self.tenant(ix, tenant);
        self.at_call(ix);
    }

    /// A request that comes, runs for so long and ends well.
    pub fn serve(&mut self, a: Arrival, span: u64) {
        self.arrive(0, a);
        self.pass(ms(span));
        self.end(0, Outcome::Succeeded);
    }

    pub fn at_call(&mut self, ix: usize) {
        self.node.on_downstream_call(self.now, &mut self.orders, ix);
    }

    pub fn call_ended(&mut self, ix: usize, outcome: Outcome) {
        self.node
            .on_call_finished(self.now, &mut self.orders, ix, outcome);
    }

    /// Time passes in ticks of 20 ms, each with the gauge.
    pub fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += ms(20);
            let (cores_busy, connections) = (Some(self.busy), Some(self.links));
            let gauges = Gauges {
                cores_busy,
                connections,
                runnable: self.on_cores,
                ..Gauges::default()
            };
            self.node.on_tick(self.now, &mut self.orders, gauges);
        }
    }

    /// The orders since the last look.
    pub fn take(&mut self) -> Vec<String> {
        std::mem::take(&mut self.orders.0)
    }

    pub fn count(&mut self, order: &str) -> usize {
        let orders = self.take();
        orders.iter().filter(|o| o.starts_with(order)).count()
    }
}
