//! A minimal HTTP/1.1 server and client on threads, and a minimal JSON reader.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as the server has read it.
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// An answer; `None` in a handler closes the connection without one.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Option<Self> {
        Some(Self {
            status,
            body: body.into(),
        })
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
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
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn decode_percent(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
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

fn serve_connection<H: Fn(Request) -> Option<Answer>>(
    stream: TcpStream,
    handler: &H,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some((first, headers)) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ');
        let target = words.nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(k, v)| (k.to_owned(), decode_percent(v)));
        let answer = handler(Request {
            path: path.to_owned(),
            query: query.collect(),
            headers,
            body,
        });
        let Some(answer) = answer else {
            return Ok(());
        };
        let mut out = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        )
        .into_bytes();
        out.extend(answer.body);
        writer.write_all(&out)?;
    }
    Ok(())
}

/// Answers requests on `listener` for as long as the process lives.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> Option<Answer> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

/// Makes one call on a connection of its own. Returns the status and the body.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> io::Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    let mut writer = stream.try_clone()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        head += &format!("host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &headers)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok((
        status.unwrap_or(0),
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

/// Returns the raw text of a field of a flat JSON object whose texts hold no escaped quotes.
pub fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let start = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = json[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}', ']']).next().map(str::trim),
    }
}

/// Returns a field as a number.
pub fn number(json: &str, name: &str) -> Option<u64> {
    field(json, name)?.parse().ok()
}

/// Returns a listener on a free loopback port.
pub fn listener() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).expect("a free port")
}
