//! Measures the overhead of the path through an entry and an agent. One run sends the same request
//! directly to the backend server, through the system, and through the system with a key.
//!
//! Run it with `cargo bench -p standins --bench path`. Compare the ratios rather than the times: all
//! routes share one machine and one process, so other load slows all of them alike.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use dragonflyrun::{
    connection::{AuthorKey, Role},
    process::{Config, Daemon, Settings},
    version::{FailureDomain, Section, Service, Urgency},
};
use hdrhistogram::Histogram;
use oxhttp::model::Method;
use standins::{
    backend::{Backend, BackendSettings, Work},
    caller::Caller,
    editor::{Editor, unique},
    http,
    log::LogService,
};

const SECRET: &str = "a secret for as long as the benchmark runs";
const ANY_PORT: &str = "127.0.0.1:0";
const DOMAIN: &str = "murau";
const DEADLINE: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bound of the histogram in microseconds; longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 60_000_000;
const SLOTS: u32 = 64;
const CALLS_PER_ROUTE: usize = 2_000;
const CALLERS: [usize; 3] = [1, 8, 32];
const BODY: &[u8] = br#"{"work_ms":0,"answer_bytes":1000}"#;

/// The route of a request to the backend server.
#[derive(Clone, Copy)]
enum Route {
    Direct,
    Routed,
    Keyed,
}

impl Route {
    const ALL: [Self; 3] = [Self::Direct, Self::Routed, Self::Keyed];

    fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Routed => "routed",
            Self::Keyed => "routed with key",
        }
    }
}

struct Bench {
    log: LogService,
    entry: Daemon,
    agent: Daemon,
    backends: Vec<Backend>,
}

struct Measurement {
    rate: f64,
    median_us: u64,
    p99_us: u64,
}

fn main() -> io::Result<()> {
    let bench = Bench::start()?;
    bench.wait_until_ready()?;
    println!(
        "{:<18} {:>8} {:>12} {:>11} {:>9} {:>16}",
        "route", "callers", "requests/s", "median us", "99% us", "median/direct"
    );
    for callers in CALLERS {
        let mut direct_us = 1;
        for route in Route::ALL {
            let measurement = bench.measure(route, callers);
            if matches!(route, Route::Direct) {
                direct_us = measurement.median_us.max(1);
            }
            println!(
                "{:<18} {:>8} {:>12.0} {:>11} {:>9} {:>16.2}",
                route.name(),
                callers,
                measurement.rate,
                measurement.median_us,
                measurement.p99_us,
                measurement.median_us as f64 / direct_us as f64,
            );
        }
    }
    bench.agent.stop();
    bench.entry.stop();
    Ok(())
}

impl Bench {
    fn start() -> io::Result<Self> {
        let any: SocketAddr = ANY_PORT.parse().map_err(io::Error::other)?;
        let log = LogService::start(any)?;
        let entry = start_daemon(Config {
            role: Some(Role::Entry),
            peers: Some(ANY_PORT.to_owned()),
            ..base_config("entry-1", &log)
        })?;
        let agent = start_daemon(Config {
            role: Some(Role::Agent),
            failure_domain: Some(DOMAIN.into()),
            rack: Some("murau-a".into()),
            entries: Some(entry.peers_addr().iter().map(ToString::to_string).collect()),
            ..base_config("worker-1", &log)
        })?;
        let backends = ["plain", "keyed"].map(|service| {
            let name = format!("{service}-server");
            Backend::start(BackendSettings {
                address: any,
                agent: Some(agent.http_addr()),
                announced: None,
                token: AuthorKey::of_backend(SECRET, &name).to_hex(),
                name: name.into(),
                service: service.into(),
                slots: SLOTS,
                connections: SLOTS,
                work: Work::default(),
            })
        });
        let bench = Self {
            backends: backends.into_iter().collect::<io::Result<_>>()?,
            log,
            entry,
            agent,
        };
        bench.put_document()?;
        Ok(bench)
    }

    fn put_document(&self) -> io::Result<()> {
        let editor = Editor::new(self.log.address(), "operator", SECRET);
        let section = || Section {
            owners: vec!["operator".into()],
            ..Section::default()
        };
        editor.edit("administration", section())?;
        let domain = FailureDomain {
            name: DOMAIN.into(),
            region: None,
            in_service: true,
        };
        editor.edit(
            "all",
            Section {
                failure_domains: vec![domain],
                services: vec![service("plain", true), service("keyed", false)],
                ..section()
            },
        )?;
        Ok(())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let start = Instant::now();
        while !(self.call(Route::Routed) && self.call(Route::Keyed)) {
            if start.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other("the deployment did not become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Sends one request and returns whether it succeeded.
    fn call(&self, route: Route) -> bool {
        let caller = Caller::new(self.entry.http_addr());
        match route {
            Route::Direct => {
                let backend = self.backends[0].address();
                let body = BODY.to_vec();
                http::call(backend, Method::POST, "/v1/run", &[], body, DEADLINE)
                    .is_ok_and(|answer| answer.status.is_success())
            }
            Route::Routed => caller.request("plain", None, 1, DEADLINE, BODY).is_done(),
            Route::Keyed => {
                let key = unique("key");
                caller
                    .request("keyed", Some(&key), 1, DEADLINE, BODY)
                    .is_done()
            }
        }
    }

    fn measure(&self, route: Route, callers: usize) -> Measurement {
        let start = Instant::now();
        let times: Vec<Duration> = thread::scope(|scope| {
            let threads: Vec<_> = (0..callers)
                .map(|_| scope.spawn(move || self.time_calls(route, CALLS_PER_ROUTE / callers)))
                .collect();
            let times = threads
                .into_iter()
                .flat_map(|t| t.join().unwrap_or_default());
            times.collect()
        });
        let elapsed = start.elapsed();
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3)
            .unwrap_or_else(|e| panic!("invalid histogram bounds: {e}"));
        for time in &times {
            histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
        Measurement {
            rate: times.len() as f64 / elapsed.as_secs_f64(),
            median_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
        }
    }

    fn time_calls(&self, route: Route, calls: usize) -> Vec<Duration> {
        let timed = |_| {
            let start = Instant::now();
            assert!(self.call(route), "a request failed");
            start.elapsed()
        };
        (0..calls).map(timed).collect()
    }
}

fn service(name: &str, repeatable: bool) -> Service {
    Service {
        name: name.into(),
        urgency: Urgency::Normal,
        deadline_ms: 10_000,
        repeatable,
        queue_limit: 256,
        key_window_ms: 600_000,
    }
}

fn base_config(name: &str, log: &LogService) -> Config {
    Config {
        name: Some(name.into()),
        http: Some(ANY_PORT.to_owned()),
        log: Some(log.address().to_string()),
        secret: Some(SECRET.into()),
        ..Config::default()
    }
}

fn start_daemon(cfg: Config) -> io::Result<Daemon> {
    let settings = Settings::check(cfg).map_err(io::Error::other)?;
    Daemon::start(settings).map_err(io::Error::other)
}
