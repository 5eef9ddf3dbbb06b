//! HTTP over blocking sockets, a small JSON reader, and the record of a case.

use std::{
    collections::{BTreeMap, hash_map::RandomState},
    fs::File,
    hash::BuildHasher,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, OnceLock},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = read_value(text, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn read_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = read_text(text, at)?;
                        skip_space(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(name, read_value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(read_value(text, at)?),
                }
            }
        }
        b'"' => read_text(text, at).map(Json::Text),
        _ => {
            let start = *at;
            while text
                .get(*at)
                .is_some_and(|c| c.is_ascii_alphanumeric() || b"+-.".contains(c))
            {
                *at += 1;
            }
            match std::str::from_utf8(&text[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn read_text(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let code = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        out.extend(code.to_string().bytes());
                    }
                    other => out.push(other),
                }
            }
            byte => out.push(byte),
        }
    }
}

/// A request that a stand-in has received.
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// The status and the body of an answer.
pub struct Reply(pub u16, pub Vec<u8>);

pub fn json(status: u16, body: String) -> Reply {
    Reply(status, body.into_bytes())
}

/// Listens at `address`, one thread a connection, until the process ends.
pub fn serve<H>(address: SocketAddr, handler: H) -> SocketAddr
where
    H: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    address
}

fn serve_connection(
    stream: TcpStream,
    handler: &(dyn Fn(Request) -> Reply + Send + Sync),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((line, headers, body)) = read_message(&mut reader)? {
        let mut words = line.split(' ');
        let target = words.nth(1).unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            path: path.to_owned(),
            query: query.map(|(k, v)| (k.to_owned(), v.replace("%2F", "/"))).collect(),
            headers,
            body,
        };
        let Reply(status, body) = handler(request);
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut out = head.into_bytes();
        out.extend(body);
        writer.write_all(&out)?;
    }
    Ok(())
}

type Message = (String, BTreeMap<String, String>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|n| n.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Makes a call on a connection of its own; returns the status and the body, or `None` without an
/// answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> Option<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, within).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    let mut out = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        out += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(out.as_bytes()).ok()?;
    let (line, _, body) = read_message(&mut BufReader::new(stream)).ok()??;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}

/// Returns a loopback port that nothing listens on.
pub fn free_port() -> SocketAddr {
    static GIVEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    let mut given = GIVEN.lock().expect("the lock");
    // Below the usual range of outgoing connections, which might take the port meanwhile.
    static START: OnceLock<u16> = OnceLock::new();
    let start = *START.get_or_init(|| 12_000 + (RandomState::new().hash_one(0) % 19_900) as u16);
    let mut port = given.last().copied().unwrap_or(start);
    loop {
        port = if port >= 31_900 { 12_000 } else { port + 1 };
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if !given.contains(&port) && TcpListener::bind(address).is_ok() {
            given.push(port);
            return address;
        }
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("a time after 1970").as_millis() as u64
}

/// The record of what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &std::path::Path) -> Record {
        Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
        }
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("the lock");
        let _ = writeln!(file, "{:>7} {}", self.ms(), text.as_ref());
    }
}
