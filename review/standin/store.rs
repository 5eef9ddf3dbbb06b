//! A stand-in of the platform's store: a log with the calls and limits of PROTOCOL.md.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::net::{Answer, Request, listener, serve};

/// `platform.record_bytes` and `platform.call_bytes` of the settings.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;

/// Most records and bytes in a page of `log-newest`.
const NEWEST_RECORDS: usize = 500;
const NEWEST_BYTES: usize = 1 << 20;

/// How many appends of a producer get their first answer again.
const REPEATED_APPENDS: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    answers: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u64), Partition>,
    /// Appends that were refused because of their size: topic, and the size of the largest record.
    too_large: Vec<(Instant, String, usize)>,
    largest: usize,
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend(key.as_bytes());
    record.extend(value);
    record
}

fn split_key(record: &[u8]) -> Option<(String, &[u8])> {
    let (length, tail) = record.split_first()?;
    let key = tail.get(..usize::from(*length))?;
    Some((
        String::from_utf8_lossy(key).into_owned(),
        &tail[usize::from(*length)..],
    ))
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let bytes = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(bytes[0]) << 16 | u32::from(bytes[1]) << 8 | u32::from(bytes[2]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * i) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

impl Store {
    /// Starts the store with a first manifest.
    pub fn start(manifest: &str) -> Arc<Self> {
        let listener = listener();
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        store.put("keyed.op", "config", manifest.as_bytes());
        let shared = store.clone();
        serve(listener, move |req| shared.answer(&req));
        store
    }

    /// Appends a keyed record, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.records.push(keyed(key, value));
        self.changed.notify_all();
    }

    /// Returns how many appends were refused for their size since `since`, and of which topics.
    pub fn too_large(&self, since: Instant) -> (usize, Vec<String>, usize) {
        let state = self.state.lock().unwrap();
        let of = state.too_large.iter().filter(|(at, ..)| *at >= since);
        let mut topics: Vec<String> = of.clone().map(|(_, topic, _)| topic.clone()).collect();
        let count = topics.len();
        topics.sort();
        topics.dedup();
        (count, topics, of.map(|(.., size)| *size).max().unwrap_or(0))
    }

    /// Returns the size of the largest record that was appended to a topic of the jobs.
    pub fn largest(&self) -> usize {
        self.state.lock().unwrap().largest
    }

    fn answer(&self, req: &Request) -> Option<Answer> {
        let topic = req.query.get("topic").cloned().unwrap_or_default();
        let part = req.query.get("part").and_then(|p| p.parse().ok());
        let key = (topic, part.unwrap_or(0));
        match req.path.as_str() {
            "/api/log-append" => self.append(key, req),
            "/api/log-read" => self.read(key, req),
            "/api/log-newest" => self.newest(&key, req),
            _ => Answer::new(404, "{}"),
        }
    }

    fn append(&self, key: (String, u64), req: &Request) -> Option<Answer> {
        let number = |name: &str| req.query.get(name).and_then(|n| n.parse::<u64>().ok());
        if key.0 == "keyed.op" || key.0 == "keyed.servers" {
            return Answer::new(403, "{}");
        }
        let mut records = Vec::new();
        let mut rest = &req.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some(record) = tail.get(..length) else {
                return Answer::new(400, "{}");
            };
            records.push(record.to_vec());
            rest = &tail[length..];
        }
        let mut state = self.state.lock().unwrap();
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        let total: usize = records.iter().map(Vec::len).sum();
        if largest > RECORD_BYTES || total > CALL_BYTES {
            state.too_large.push((Instant::now(), key.0, largest));
            return Answer::new(400, r#"{"reason":"size"}"#);
        }
        if key.0 == "keyed.jobs" {
            state.largest = state.largest.max(largest);
        }
        let partition = state.partitions.entry(key).or_default();
        let offset = partition.records.len() as u64;
        let end = offset + records.len() as u64;
        let ok = format!(r#"{{"offset":{offset},"end":{end}}}"#);
        let moved = number("at").is_some_and(|at| at != offset);
        if let Some(name) = req.query.get("producer") {
            let (epoch, sequence) = (
                number("epoch").unwrap_or(0),
                number("sequence").unwrap_or(0),
            );
            let producer = partition.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return Answer::new(409, r#"{"reason":"fenced"}"#);
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if records.is_empty() {
                return Answer::new(200, ok);
            }
            let repeat = producer.answers.iter().find(|(s, ..)| *s == sequence);
            if let Some((_, offset, end)) = repeat {
                return Answer::new(200, format!(r#"{{"offset":{offset},"end":{end}}}"#));
            }
            if let Some(expected) = producer.last.map(|l| l + 1).filter(|e| *e != sequence) {
                return Answer::new(409, format!(r#"{{"reason":"seq","sequence":{expected}}}"#));
            }
            if moved {
                return Answer::new(412, format!(r#"{{"end":{offset}}}"#));
            }
            producer.last = Some(sequence);
            producer.answers.push((sequence, offset, end));
            let excess = producer.answers.len().saturating_sub(REPEATED_APPENDS);
            producer.answers.drain(..excess);
        } else if moved {
            return Answer::new(412, format!(r#"{{"end":{offset}}}"#));
        }
        partition.records.extend(records);
        self.changed.notify_all();
        Answer::new(200, ok)
    }

    fn read(&self, key: (String, u64), req: &Request) -> Option<Answer> {
        let number = |name: &str| req.query.get(name).and_then(|n| n.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let empty = Vec::new();
            let records = state.partitions.get(&key).map_or(&empty, |p| &p.records);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (i, record) in records.iter().skip(from).enumerate() {
                    if i > 0 && body.len() + record.len() > max {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Answer::new(200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, key: &(String, u64), req: &Request) -> Option<Answer> {
        let state = self.state.lock().unwrap();
        let empty = Vec::new();
        let records = state.partitions.get(key).map_or(&empty, |p| &p.records);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            if let Some((key, value)) = split_key(record) {
                newest.insert(key, (offset, value));
            }
        }
        let after = req.query.get("after").cloned().unwrap_or_default();
        let items = newest.into_iter();
        let items = items.filter(|(key, (_, value))| *key > after && !value.is_empty());
        let (mut out, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in items {
            if out.len() == NEWEST_RECORDS || (bytes > 0 && bytes + value.len() > NEWEST_BYTES) {
                more = true;
                break;
            }
            bytes += value.len();
            let value = base64(value);
            out.push(format!(
                r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#
            ));
        }
        let body = format!(
            r#"{{"items":[{}],"has_more":{more},"end":{}}}"#,
            out.join(","),
            records.len()
        );
        Answer::new(200, body)
    }
}
