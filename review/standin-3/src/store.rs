//! A stand-in of the platform's store, with the limits of its pages: the size of a record and of a call,
//! the time of an append, and long polls.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::StatusCode;
use platform::{Phase, WireAnswer, WireRequest, serve};
use serde_json::{Value, json};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, sleep_until, timeout},
};

/// The limits of the settings of a small deployment.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const APPEND_TIME: Duration = Duration::from_millis(2);
const PART_BYTES_PER_S: f64 = 20e6;
/// When more than this waits at a partition, an append is refused.
const MAX_QUEUE: Duration = Duration::from_secs(2);
/// The store's time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const MAX_WAIT_MS: u64 = 30_000;
const NEWEST_RECORDS: usize = 500;
const NEWEST_BYTES: usize = 1 << 20;
const REMEMBERED_APPENDS: usize = 5;

#[derive(Default)]
struct Writer {
    epoch: u64,
    last: Option<u64>,
    answers: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    appended_at: HashMap<String, Instant>,
    writers: HashMap<String, Writer>,
    busy_until: Option<Instant>,
}

/// The store.
pub struct Store {
    parts: RefCell<BTreeMap<(String, u32), Part>>,
    changed: Notify,
    /// The partition whose calls are refused with 503.
    down: RefCell<Option<(String, u32)>>,
}

impl Store {
    /// Returns an empty store.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            parts: RefCell::default(),
            changed: Notify::new(),
            down: RefCell::default(),
        })
    }

    /// Refuses all calls to a partition, or to none.
    pub fn set_down(&self, partition: Option<(String, u32)>) {
        *self.down.borrow_mut() = partition;
    }

    /// Returns the partition of a topic that has a record with this key.
    pub fn partition_of(&self, topic: &str, key: &str) -> Option<(String, u32)> {
        let parts = self.parts.borrow();
        let mut parts = parts.iter().filter(|(id, _)| id.0 == topic);
        parts
            .find(|(_, part)| part.newest.contains_key(key))
            .map(|(id, _)| id.clone())
    }

    /// Returns when the newest record of a key was appended.
    pub fn appended_at(&self, partition: &(String, u32), key: &str) -> Option<Instant> {
        self.parts
            .borrow()
            .get(partition)?
            .appended_at
            .get(key)
            .copied()
    }

    /// Listens on a free loopback port and returns its address.
    pub async fn listen(self: &Rc<Self>) -> SocketAddr {
        let (keep, stop) = watch::channel(Phase::default());
        // The store listens for as long as the script runs.
        std::mem::forget(keep);
        let store = self.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        serve(any, stop, move |req| store.clone().answer(req))
            .await
            .expect("a port")
    }

    /// Writes a record of the operator.
    pub fn put(&self, key: &str, value: &Value) {
        let mut parts = self.parts.borrow_mut();
        let part = parts.entry(("keyed.op".to_owned(), 0)).or_default();
        push(part, true, keyed(key, value.to_string().as_bytes()));
        drop(parts);
        self.changed.notify_waiters();
    }

    async fn answer(self: Rc<Self>, req: WireRequest) -> WireAnswer {
        sleep(ANSWER_TIME).await;
        let query: HashMap<String, String> = req
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        if self.down.borrow().as_ref() == Some(&partition(&query)) {
            return WireAnswer::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match req.path.as_str() {
            "/api/log-append" => self.append(&query, &req.body).await,
            "/api/log-read" => self.read(&query).await,
            "/api/log-newest" => self.newest(&query),
            _ => WireAnswer::status(StatusCode::NOT_FOUND),
        }
    }

    async fn append(&self, query: &HashMap<String, String>, body: &[u8]) -> WireAnswer {
        let key = partition(query);
        let records = split(body);
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        if largest > RECORD_BYTES || body.len() > CALL_BYTES {
            return WireAnswer::status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        // A partition processes its appends one at a time.
        let now = Instant::now();
        let turn = {
            let mut parts = self.parts.borrow_mut();
            let part = parts.entry(key.clone()).or_default();
            let free = part.busy_until.unwrap_or(now).max(now);
            if free - now > MAX_QUEUE {
                return WireAnswer::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let took = APPEND_TIME + Duration::from_secs_f64(body.len() as f64 / PART_BYTES_PER_S);
            part.busy_until = Some(free + took);
            free + took
        };
        sleep_until(turn).await;
        let answer = self.append_now(&key, query, records);
        self.changed.notify_waiters();
        answer
    }

    fn append_now(
        &self,
        key: &(String, u32),
        query: &HashMap<String, String>,
        records: Vec<Vec<u8>>,
    ) -> WireAnswer {
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok());
        let mut parts = self.parts.borrow_mut();
        let part = parts.entry(key.clone()).or_default();
        let offset = part.records.len() as u64;
        let end = offset + records.len() as u64;
        if let Some(name) = query.get("producer") {
            let epoch = number("epoch").unwrap_or(0);
            let writer = part.writers.entry(name.clone()).or_default();
            if epoch < writer.epoch {
                return refuse(StatusCode::CONFLICT, &json!({"reason": "fenced"}));
            }
            if epoch > writer.epoch {
                *writer = Writer {
                    epoch,
                    ..Writer::default()
                };
            }
            if records.is_empty() {
                return WireAnswer::json(&json!({"offset": offset, "end": end}));
            }
            let sequence = number("sequence").unwrap_or(0);
            if let Some((_, offset, end)) = writer.answers.iter().find(|a| a.0 == sequence) {
                return WireAnswer::json(&json!({"offset": offset, "end": end}));
            }
            let expected = writer.last.map(|last| last + 1);
            if expected.is_some_and(|expected| expected != sequence) {
                let body = json!({"reason": "seq", "sequence": expected});
                return refuse(StatusCode::CONFLICT, &body);
            }
            if number("at").is_some_and(|at| at != offset) {
                return refuse(StatusCode::PRECONDITION_FAILED, &json!({"end": offset}));
            }
            writer.last = Some(sequence);
            writer.answers.push((sequence, offset, end));
            let excess = writer.answers.len().saturating_sub(REMEMBERED_APPENDS);
            writer.answers.drain(..excess);
        } else if number("at").is_some_and(|at| at != offset) {
            return refuse(StatusCode::PRECONDITION_FAILED, &json!({"end": offset}));
        }
        for record in records {
            push(part, key.0.starts_with("keyed."), record);
        }
        WireAnswer::json(&json!({"offset": offset, "end": end}))
    }

    async fn read(&self, query: &HashMap<String, String>) -> WireAnswer {
        let key = partition(query);
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let wait = number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            {
                let parts = self.parts.borrow();
                let records = parts.get(&key).map_or(&[][..], |p| &p.records);
                if from < records.len() || Instant::now() >= until {
                    return page(records, from, max);
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            let _ = timeout(left, changed).await;
        }
    }

    fn newest(&self, query: &HashMap<String, String>) -> WireAnswer {
        let parts = self.parts.borrow();
        let empty = Part::default();
        let part = parts.get(&partition(query)).unwrap_or(&empty);
        let after = query.get("after").cloned().unwrap_or_default();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (value, offset)) in part.newest.iter().filter(|(key, _)| **key > after) {
            let value = STANDARD.encode(value);
            bytes += key.len() + value.len() + 40;
            if !items.is_empty() && (items.len() == NEWEST_RECORDS || bytes > NEWEST_BYTES) {
                more = true;
                break;
            }
            items.push(json!({"key": key, "value": value, "offset": offset}));
        }
        WireAnswer::json(&json!({"items": items, "has_more": more, "end": part.records.len()}))
    }
}

fn push(part: &mut Part, is_keyed: bool, record: Vec<u8>) {
    if is_keyed
        && let Some((length, tail)) = record.split_first()
        && let Some((key, value)) = tail.split_at_checked(usize::from(*length))
        && let Ok(key) = std::str::from_utf8(key)
    {
        if value.is_empty() {
            part.newest.remove(key);
        } else {
            let offset = part.records.len() as u64;
            part.newest.insert(key.to_owned(), (value.to_vec(), offset));
            part.appended_at.insert(key.to_owned(), Instant::now());
        }
    }
    part.records.push(record);
}

fn page(records: &[Vec<u8>], from: usize, max: usize) -> WireAnswer {
    let mut body = Vec::new();
    body.extend((records.len() as u64).to_be_bytes());
    body.extend(0_u64.to_be_bytes());
    let head = body.len();
    for record in records.iter().skip(from) {
        // The first record is returned whatever its size.
        if body.len() > head && body.len() + record.len() > max {
            break;
        }
        body.extend((record.len() as u32).to_be_bytes());
        body.extend(record);
    }
    WireAnswer {
        body,
        ..WireAnswer::status(StatusCode::OK)
    }
}

fn partition(query: &HashMap<String, String>) -> (String, u32) {
    let topic = query.get("topic").cloned().unwrap_or_default();
    let part = query.get("part").and_then(|n| n.parse().ok());
    (topic, part.unwrap_or(0))
}

fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend(key.as_bytes());
    record.extend(value);
    record
}

fn split(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, tail)) = body.split_first_chunk::<4>() {
        let length = (u32::from_be_bytes(*length) as usize).min(tail.len());
        let (record, rest) = tail.split_at(length);
        records.push(record.to_vec());
        body = rest;
    }
    records
}

fn refuse(status: StatusCode, body: &Value) -> WireAnswer {
    WireAnswer {
        status,
        ..WireAnswer::json(body)
    }
}

/// Decodes the percent signs of a query's value.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).filter(|_| bytes[i] == b'%');
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
