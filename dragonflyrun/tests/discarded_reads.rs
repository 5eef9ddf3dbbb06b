//! The metrics and log lines about reads whose answers are not used.

use std::{
    cell::RefCell,
    sync::{Arc, Mutex, Once},
    time::Duration,
};

use dragonflyrun::{
    port::{
        Append, AppendError, Appended, Newest, NewestRequest, Page, PageBody, PageRequest,
        Partition, ReadError, Store, StoreRecord,
    },
    process::{Counters, on_store::CountedStore},
    utils::{HashMap, lock},
};
use log::kv::{Key, Value, VisitSource};
use tokio::time::{sleep, timeout};

const WAIT: Duration = Duration::from_millis(400);
const WITHIN: Duration = Duration::from_millis(1_300);
const MAX_BYTES: usize = 64 << 10;

thread_local! {
    static LINES: RefCell<Vec<HashMap<String, String>>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines about discarded reads of each test's thread.
struct ThreadLog;

struct Values<'a>(&'a mut HashMap<String, String>);

impl<'a> VisitSource<'a> for Values<'_> {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl log::Log for ThreadLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.args().to_string() != "reads_discarded" {
            return;
        }
        let mut values = HashMap::default();
        record
            .key_values()
            .visit(&mut Values(&mut values))
            .expect("readable values");
        LINES.with_borrow_mut(|lines| lines.push(values));
    }

    fn flush(&self) {}
}

/// Keeps this thread's log lines from now on.
fn start_log() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&ThreadLog).expect("the only logger");
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.with_borrow_mut(Vec::clear);
}

fn lines() -> Vec<HashMap<String, String>> {
    LINES.with_borrow(Clone::clone)
}

/// What a read of the test's store does.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Records,
    Expired,
    Refusal,
    /// No answer within the time limit.
    Silence,
    /// An answer that ends early.
    HalfAnswer,
}

/// A store that replies as it is told.
struct ScriptedStore {
    reply: Arc<Mutex<Reply>>,
}

/// Returns a record of 100 bytes.
fn record() -> StoreRecord {
    StoreRecord {
        key: "key".into(),
        value: Some(vec![0; 97]),
    }
}

fn unavailable() -> ReadError {
    ReadError::Unavailable("scripted".to_owned())
}

impl Store for ScriptedStore {
    async fn append(&self, _: &Append, _: Duration) -> Result<Appended, AppendError> {
        Err(AppendError::NotAppended("read-only".to_owned()))
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let reply = *lock(&self.reply);
        match reply {
            Reply::Records => Ok(PageBody::from(Page {
                end: 2,
                records: vec![record(), record()],
            })),
            Reply::Expired => Err(ReadError::Dropped(7)),
            Reply::Refusal => Err(unavailable()),
            Reply::Silence => {
                sleep(req.within).await;
                Err(unavailable())
            }
            Reply::HalfAnswer => Ok(PageBody::new(async { Err(unavailable()) })),
        }
    }

    async fn newest(&self, req: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        let reply = *lock(&self.reply);
        if matches!(reply, Reply::Records) {
            return Ok(PageBody::from(Newest {
                end: 1,
                records: vec![record()],
                more: false,
            }));
        }
        sleep(req.within).await;
        Err(unavailable())
    }
}

struct Fixture {
    store: CountedStore<ScriptedStore>,
    reply: Arc<Mutex<Reply>>,
    counters: Arc<Counters>,
}

impl Fixture {
    fn new() -> Self {
        let counters = Arc::new(Counters::new().expect("metrics"));
        let reply = Arc::new(Mutex::new(Reply::Records));
        let store = ScriptedStore {
            reply: reply.clone(),
        };
        Self {
            store: CountedStore::new(store, counters.clone()),
            reply,
            counters,
        }
    }

    async fn read(&self, reply: Reply) -> Result<Page, ReadError> {
        *lock(&self.reply) = reply;
        self.store.read(request()).await?.read_all().await
    }

    /// Returns the value of a metric, 0 if it does not exist.
    fn metric(&self, name: &str, labels: &[(&str, &str)]) -> u64 {
        let text = String::from_utf8(self.counters.render()).expect("a text");
        let wanted = |line: &&str| {
            line.starts_with(&format!("{name}{{"))
                && labels
                    .iter()
                    .all(|(key, value)| line.contains(&format!("{key}=\"{value}\"")))
        };
        let value = text
            .lines()
            .find(wanted)
            .and_then(|l| l.split(' ').next_back());
        value.map_or(0, |v| v.parse().expect("a number"))
    }

    fn discarded(&self, why: &str) -> (u64, u64) {
        let labels = [("call", "read"), ("topic", "operator"), ("why", why)];
        (
            self.metric("store_reads_discarded_total", &labels),
            self.metric("store_discarded_bytes_total", &labels),
        )
    }
}

fn request() -> PageRequest {
    PageRequest {
        partition: Partition::OPERATOR,
        from: 0,
        wait: WAIT,
        max_bytes: MAX_BYTES,
        within: WITHIN,
    }
}

/// Guards against answers that are counted under another topic or call, or not at all.
#[tokio::test(start_paused = true)]
async fn answered_bytes() {
    let f = Fixture::new();
    f.read(Reply::Records).await.expect("records");
    let newest = NewestRequest {
        partition: Partition::JOBS,
        after: None,
        within: WITHIN,
    };
    let body = f.store.newest(newest).await.expect("an answer");
    body.read_all().await.expect("records");
    let bytes = |call, topic| {
        f.metric(
            "store_read_bytes_total",
            &[("call", call), ("topic", topic)],
        )
    };
    assert_eq!(bytes("read", "operator"), 200);
    assert_eq!(bytes("newest", "jobs"), 100);
}

/// Guards against discarded reads whose reason can't be told from the metrics.
#[tokio::test(start_paused = true)]
async fn discard_reasons() {
    let f = Fixture::new();
    f.read(Reply::Refusal).await.expect_err("a refusal");
    f.read(Reply::Silence).await.expect_err("a timeout");
    f.read(Reply::HalfAnswer).await.expect_err("half an answer");
    f.read(Reply::Expired).await.expect_err("no such records");
    let once = (1, MAX_BYTES as u64);
    assert_eq!(f.discarded("refused"), once);
    assert_eq!(f.discarded("timeout"), once);
    assert_eq!(f.discarded("cut"), once);
    assert_eq!(f.discarded("dropped"), (0, 0));
}

/// Guards against reads that the caller gives up without a trace: before their answer, and with
/// the answer on its way. One given up while the store may still wait for records has cost nothing.
#[tokio::test(start_paused = true)]
async fn dropped_reads() {
    let f = Fixture::new();
    let late = timeout(WAIT * 2, f.read(Reply::Silence)).await;
    late.expect_err("a read given up");
    assert_eq!(f.discarded("dropped"), (1, MAX_BYTES as u64));
    *lock(&f.reply) = Reply::Records;
    let body = f.store.read(request()).await.expect("a body");
    sleep(WAIT).await;
    drop(body);
    assert_eq!(f.discarded("dropped"), (2, 2 * MAX_BYTES as u64));
    let early = timeout(WAIT / 2, f.read(Reply::Silence)).await;
    early.expect_err("a read given up");
    assert_eq!(f.discarded("dropped"), (2, 2 * MAX_BYTES as u64));
}

/// Guards against a line for each discarded read, and against lines while all answers are used.
#[tokio::test(start_paused = true)]
async fn one_line_a_second() {
    start_log();
    let f = Fixture::new();
    for _ in 0..30 {
        f.read(Reply::Records).await.expect("records");
        sleep(Duration::from_millis(100)).await;
    }
    assert!(lines().is_empty(), "{:?}", lines());
    for _ in 0..30 {
        f.read(Reply::Refusal).await.expect_err("a refusal");
        sleep(Duration::from_millis(100)).await;
    }
    let lines = lines();
    assert!((2..=3).contains(&lines.len()), "{lines:?}");
    let last = lines.last().expect("a line");
    let value = |key: &str| last[key].parse::<u64>().expect("a number");
    assert_eq!(last["what"], "operators");
    assert!((1_000..=1_100).contains(&value("over_ms")), "{last:?}");
    assert!((10..=11).contains(&value("reads")), "{last:?}");
    assert!((10..=11).contains(&value("failed")), "{last:?}");
    assert_eq!(value("refused"), value("failed"));
    assert_eq!(value("dropped"), 0);
    assert_eq!(value("answered_bytes"), 0);
    assert_eq!(value("asked_bytes"), value("reads") * MAX_BYTES as u64);
}
