//! A controller with a host that records its orders.
#![allow(dead_code)] // no test file uses all of it

use rainstand::{
    AdmissionController, AdvertiserOptions, Arrival, ClientConnections, ColdStart, Components,
    ConcurrencyLimiter, DownstreamLimiter, DownstreamShare, Gauges, Host, InFlightRequests,
    LoadSignal, Outcome, Rejection, Repeatability, RetryElsewhere, TenantQuotas,
};
use rainstand::{LoadAdvertiser, RequestClass};
use std::time::Duration;

/// A share of the downstream tier, for [`Settings::share`].
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

/// The orders of a controller as text.
#[derive(Default)]
pub struct RecordedOrders(pub Vec<String>);

macro_rules! record_orders {
    ($($order:ident($($arg:ident: $kind:ty),*) $text:literal $(($($value:expr),*))?;)*) => {
        impl Host for RecordedOrders {
            $(fn $order(&mut self, $($arg: $kind),*) { self.0.push(format!($text $(, $($value),*)?)); })*
            fn wake(&mut self, _: Duration) {}
        }
    };
}

record_orders! {
    run(index: usize) "run {index}";
    cancel_run(index: usize) "cancel_run {index}";
    reply_from_cache(index: usize) "reply_from_cache {index}";
    cache_result(index: usize, span: Duration) "cache_result {index} {}" (span.as_millis());
    discard_result(index: usize) "discard_result {index}";
    reject(index: usize, rejection: Rejection)
        "reject {index} {}{}" (rejection.retry_after.as_millis(), terminal(rejection));
    fail(index: usize) "fail {index}";
    call_downstream(index: usize, deadline: Duration) "call_downstream {index} {}" (deadline.as_millis());
    reply_degraded(index: usize) "reply_degraded {index}";
    advertise_load(amount: f64) "advertise_load {amount}";
    set_health(healthy: bool) "set_health {healthy}";
    close_idle_after(span: Duration) "close_idle_after {}" (span.as_millis());
    release(index: usize) "release {index}";
}

fn terminal(rejection: Rejection) -> &'static str {
    match rejection.retry_elsewhere {
        RetryElsewhere::Allowed => "",
        RetryElsewhere::Discouraged => " terminal",
    }
}

/// A controller with its recorded orders, its clock and its gauges.
pub struct TestNode {
    pub controller: AdmissionController,
    pub orders: RecordedOrders,
    pub now: Duration,
    pub cores_busy: f64,
    pub connections: f64,
    /// Number of threads that run or wait for a core, if there is such a gauge.
    pub runnable: Option<f64>,
}

/// The settings of a [`TestNode`]. Default: two cores, two tenants of one request per second over two servers, and one
/// idempotent request class.
pub struct Settings {
    pub quotas: &'static [f64],
    pub servers: usize,
    pub cores: usize,
    pub repeatability: Repeatability,
    pub degraded_share: f64,
    pub overload_factor: f64,
    pub cold_start: Option<ColdStart>,
    pub memory_kb: f64,
    pub share: Option<DownstreamShare>,
    pub retries_marked: bool,
    pub callers: usize,
    /// Adds a second request class of three times the value, whose answers have no value without the call.
    pub with_valuable_class: bool,
}

impl Default for Settings {
    fn default() -> Self {
        let (quotas, servers, cores, repeatability) =
            (&[1.0, 1.0], 2, 2, Repeatability::Idempotent);
        let (degraded_share, overload_factor, cold_start, memory_kb, share, retries_marked) =
            (0.0, 6.0, None, 10_000.0, None, true);
        let (callers, with_valuable_class) = (900, false);
        Self {
            quotas,
            servers,
            cores,
            repeatability,
            degraded_share,
            overload_factor,
            cold_start,
            memory_kb,
            share,
            retries_marked,
            callers,
            with_valuable_class,
        }
    }
}

impl TestNode {
    /// A controller with these settings that has not begun.
    pub fn controller(settings: Settings) -> AdmissionController {
        let (latency_objective, deadline, degraded_share, repeatability) = (
            ms(2_000),
            ms(5_000),
            settings.degraded_share,
            settings.repeatability,
        );
        let class = RequestClass {
            latency_objective,
            deadline,
            value: 1.0,
            late_share: 0.0,
            degraded_share,
            repeatability,
        };
        let components = Components {
            quotas: TenantQuotas::new(settings.quotas, settings.servers),
            limiter: ConcurrencyLimiter::new(
                7,
                settings.cores,
                settings.overload_factor,
                settings.cold_start,
            ),
            in_flight: InFlightRequests::new(settings.memory_kb, 4.0, 10.0),
            downstream: DownstreamLimiter::new(settings.share),
            advertiser: LoadAdvertiser::new(AdvertiserOptions {
                signal: LoadSignal::Level,
                max_retry_after: ms(1_000),
                drain_grace: ms(2_000),
                retries_marked: settings.retries_marked,
                clients: ClientConnections {
                    callers: settings.callers,
                    idle_timeout: ms(30_000),
                },
            }),
        };
        let mut classes = vec![class];
        if settings.with_valuable_class {
            classes.push(RequestClass {
                value: 3.0,
                degraded_share: 0.0,
                ..classes[0]
            });
        }
        AdmissionController::new(classes, false, components)
    }

    pub fn new(settings: Settings) -> Self {
        let controller = Self::controller(settings);
        let mut node = Self {
            controller,
            orders: RecordedOrders::default(),
            now: ms(10_000),
            cores_busy: 1.0,
            connections: 0.0,
            runnable: None,
        };
        node.controller.begin(node.now, &mut node.orders);
        node
    }

    /// A request is read; it takes 20 KiB.
    pub fn arrive(&mut self, index: usize, arrival: Arrival) {
        self.controller.on_arrival(
            self.now,
            &mut self.orders,
            index,
            &Arrival {
                held_kb: 20.0,
                ..arrival
            },
        );
    }

    pub fn arrive_from_tenant(&mut self, index: usize, tenant: usize) {
        self.arrive(
            index,
            Arrival {
                tenant: Some(tenant),
                ..Arrival::default()
            },
        );
    }

    pub fn finish_run(&mut self, index: usize, outcome: Outcome) {
        self.controller
            .on_run_finished(self.now, &mut self.orders, index, outcome);
    }

    pub fn with_cores_busy(mut self, cores_busy: f64) -> Self {
        self.cores_busy = cores_busy;
        self
    }

    /// Changes the cores gauge, advances by a tick and drops the orders so far.
    pub fn set_cores_busy(&mut self, cores_busy: f64) {
        self.cores_busy = cores_busy;
        self.advance(ms(20));
        self.take_orders();
    }

    /// A request arrives, starts and needs its downstream call.
    pub fn arrive_and_call(&mut self, index: usize, tenant: usize) {
        self.arrive_from_tenant(index, tenant);
        self.request_call(index);
    }

    /// A request arrives, runs for `span_ms` and succeeds.
    pub fn serve(&mut self, arrival: Arrival, span_ms: u64) {
        self.arrive(0, arrival);
        self.advance(ms(span_ms));
        self.finish_run(0, Outcome::Succeeded);
    }

    /// The run needs its downstream call.
    pub fn request_call(&mut self, index: usize) {
        self.controller
            .on_downstream_call(self.now, &mut self.orders, index);
    }

    pub fn finish_call(&mut self, index: usize, outcome: Outcome) {
        self.controller
            .on_call_finished(self.now, &mut self.orders, index, outcome);
    }

    /// Advances the clock in ticks of 20 ms, each with the current gauges.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += ms(20);
            let (cores_busy, connections) = (Some(self.cores_busy), Some(self.connections));
            let gauges = Gauges {
                cores_busy,
                connections,
                runnable: self.runnable,
                ..Gauges::default()
            };
            self.controller.on_tick(self.now, &mut self.orders, gauges);
        }
    }

    /// Takes the orders recorded since the last call.
    pub fn take_orders(&mut self) -> Vec<String> {
        std::mem::take(&mut self.orders.0)
    }

    /// Takes the recorded orders and counts those that start with `prefix`.
    pub fn count_orders(&mut self, prefix: &str) -> usize {
        let orders = self.take_orders();
        orders
            .iter()
            .filter(|order| order.starts_with(prefix))
            .count()
    }
}
