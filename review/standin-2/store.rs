//! A stand-in of the platform's store: a log with partitions, by PROTOCOL.md.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::net::{Record, Reply, Request, json, serve};

/// The limits that the settings of a small deployment name.
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
/// The time that a partition takes for an append.
const APPEND_TIME: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Writer {
    epoch: u64,
    last: Option<u64>,
    answers: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    writers: HashMap<String, Writer>,
}

pub struct Store {
    partitions: Mutex<BTreeMap<(String, u32), Partition>>,
    changed: Condvar,
    record: Record,
}

impl Store {
    pub fn new(record: Record) -> Arc<Store> {
        Arc::new(Store {
            partitions: Mutex::default(),
            changed: Condvar::new(),
            record,
        })
    }

    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let store = self.clone();
        serve(([127, 0, 0, 1], 0).into(), move |req| store.answer(&req))
    }

    /// Writes a record of the operator.
    pub fn put_operator(&self, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value.bytes());
        let mut partitions = self.partitions.lock().expect("the lock");
        let partition = partitions.entry(("keyed.op".to_owned(), 0));
        partition.or_default().records.push(record);
        drop(partitions);
        self.changed.notify_all();
    }

    fn answer(&self, req: &Request) -> Reply {
        let number = |name: &str| req.query.get(name).and_then(|n| n.parse::<u64>().ok());
        let topic = req.query.get("topic").cloned().unwrap_or_default();
        let key = (topic, number("part").unwrap_or(0) as u32);
        match req.path.as_str() {
            "/api/log-append" => {
                thread::sleep(APPEND_TIME);
                self.append(&key, req)
            }
            "/api/log-read" => self.read(&key, req),
            "/api/log-newest" => self.newest(&key, req),
            _ => json(404, "{}".to_owned()),
        }
    }

    fn append(&self, key: &(String, u32), req: &Request) -> Reply {
        if key.0 == "keyed.op" || key.0 == "keyed.servers" {
            return json(403, "{}".to_owned());
        }
        let mut records = Vec::new();
        let mut rest = &req.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > RECORD_BYTES || tail.len() < length {
                self.record.line(format!(
                    "store: an append to {}/{} is refused with 400: a record of {length} bytes, the limit is {RECORD_BYTES}",
                    key.0, key.1
                ));
                return json(400, "{}".to_owned());
            }
            records.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        if records.iter().map(Vec::len).sum::<usize>() > CALL_BYTES {
            self.record.line(format!(
                "store: an append to {}/{} is refused with 400: over {CALL_BYTES} bytes",
                key.0, key.1
            ));
            return json(400, "{}".to_owned());
        }
        let number = |name: &str| req.query.get(name).and_then(|n| n.parse::<u64>().ok());
        let mut partitions = self.partitions.lock().expect("the lock");
        let partition = partitions.entry(key.clone()).or_default();
        let offset = partition.records.len() as u64;
        let end = offset + records.len() as u64;
        let at_end = number("at").is_none_or(|at| at == offset);
        if let Some(producer) = req.query.get("producer") {
            let epoch = number("epoch").unwrap_or(0);
            let writer = partition.writers.entry(producer.clone()).or_default();
            if epoch < writer.epoch {
                return json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > writer.epoch {
                *writer = Writer {
                    epoch,
                    ..Writer::default()
                };
            }
            if records.is_empty() {
                return json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            let sequence = number("sequence").unwrap_or(0);
            if let Some((_, offset, end)) = writer.answers.iter().find(|a| a.0 == sequence) {
                return json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            if let Some(expected) = writer.last.map(|last| last + 1)
                && expected != sequence
            {
                let body = format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}");
                return json(409, body);
            }
            if !at_end {
                return json(412, format!("{{\"end\":{offset}}}"));
            }
            writer.last = Some(sequence);
            writer.answers.push((sequence, offset, end));
            if writer.answers.len() > 5 {
                writer.answers.remove(0);
            }
        } else if !at_end {
            return json(412, format!("{{\"end\":{offset}}}"));
        }
        partition.records.extend(records);
        drop(partitions);
        self.changed.notify_all();
        json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, key: &(String, u32), req: &Request) -> Reply {
        let number = |name: &str| req.query.get(name).and_then(|n| n.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut partitions = self.partitions.lock().expect("the lock");
        loop {
            let records = partitions.get(key).map_or(&[][..], |p| &p.records[..]);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > max {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Reply(200, body);
            }
            partitions = self.changed.wait_timeout(partitions, left).expect("the lock").0;
        }
    }

    fn newest(&self, key: &(String, u32), req: &Request) -> Reply {
        let partitions = self.partitions.lock().expect("the lock");
        let records = partitions.get(key).map_or(&[][..], |p| &p.records[..]);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let Some((length, tail)) = record.split_first() else {
                continue;
            };
            let Some((name, value)) = tail.split_at_checked(usize::from(*length)) else {
                continue;
            };
            newest.insert(String::from_utf8_lossy(name).into_owned(), (offset, value));
        }
        let after = req.query.get("after").cloned().unwrap_or_default();
        let items = newest.into_iter();
        let items: Vec<_> = items
            .filter(|(name, (_, value))| *name > after && !value.is_empty())
            .collect();
        let mut rows = Vec::new();
        let mut bytes = 0;
        for (name, (offset, value)) in &items {
            if rows.len() == 500 || bytes > 1 << 20 {
                break;
            }
            bytes += value.len();
            rows.push(format!(
                "{{\"key\":\"{name}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            ));
        }
        let more = rows.len() < items.len();
        let (rows, end) = (rows.join(","), records.len());
        json(200, format!("{{\"items\":[{rows}],\"has_more\":{more},\"end\":{end}}}"))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
