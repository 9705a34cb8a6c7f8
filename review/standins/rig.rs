//! Stand-ins for the platform's store, engines and clients, and the control of gateway processes. Standard library only.

#![allow(dead_code, reason = "each case uses only some of the rig")]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.at(Instant::now());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:9.3}  {}", text.as_ref());
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&NULL, |(_, value)| value)
            }
            _ => &NULL,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek()? != b'}' {
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                    let key = self.string()?;
                    self.peek()?;
                    self.at += 1;
                    fields.push((key, self.value()?));
                }
                self.at += 1;
                Some(Json::Table(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != b']' {
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                    items.push(self.value()?);
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let begin = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
                Some(match word {
                    "null" => Json::Null,
                    "true" | "false" => Json::Bool,
                    _ => Json::Number(word.parse().ok()?),
                })
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.peek()?;
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    text.push(match *self.bytes.get(self.at)? {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                }
                byte => text.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(text).ok()
    }
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }
}

pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value.as_str())
}

type HeadParts = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<HeadParts>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_string(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// Reads one chunk of a chunked body; an empty one is the end.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut size = String::new();
    if reader.read_line(&mut size)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or("x"), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_string();
    let target = words.next().unwrap_or_default().to_string();
    let mut body = Vec::new();
    if find_header(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Ok(length) = find_header(&headers, "content-length").parse::<usize>() {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// Serves each connection on a thread of its own. The handler returns whether the connection is kept.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a loopback port is free");
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !matches!(handler(&request, &mut writer), Ok(true)) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(true)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreData {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, String)>,
    revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    writes: u64,
    lost: u64,
}

/// Decides whether the answer of a transaction is lost, from the keys that it writes. `Some` is the delay of its execution.
type LossRule = Box<dyn Fn(&[String]) -> Option<Duration> + Send + Sync>;

/// The store of the platform, as PROTOCOL.md describes it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    data: Arc<(Mutex<StoreData>, Condvar)>,
    loss: Arc<Mutex<Option<LossRule>>>,
    is_down: Arc<AtomicBool>,
}

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

impl Store {
    pub fn start() -> Self {
        let mut store = Self {
            address: ([127, 0, 0, 1], 0).into(),
            data: Arc::default(),
            loss: Arc::default(),
            is_down: Arc::default(),
        };
        store.data.0.lock().unwrap().revision = 100;
        let served = store.clone();
        store.address = serve(store.address, move |request, stream| served.answer(request, stream));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let now = Instant::now();
                let mut data = expiring.data.0.lock().unwrap();
                let ended: Vec<u64> = data
                    .leases
                    .iter()
                    .filter(|(_, (until, _))| *until <= now)
                    .map(|(id, _)| *id)
                    .collect();
                for lease in ended {
                    data.end_lease(lease);
                }
                expiring.data.1.notify_all();
            }
        });
        store
    }

    /// Writes an item, as the operator, an engine or another writer does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut data = self.data.0.lock().unwrap();
        data.revision += 1;
        data.put(key, base64(value), 0);
        self.data.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut data = self.data.0.lock().unwrap();
        data.revision += 1;
        data.delete(key);
        self.data.1.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let data = self.data.0.lock().unwrap();
        data.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub fn revision(&self) -> u64 {
        self.data.0.lock().unwrap().revision
    }

    /// Returns the keys below a prefix that were written after a revision.
    pub fn keys_since(&self, prefix: &str, revision: u64) -> Vec<String> {
        let data = self.data.0.lock().unwrap();
        let below = data.items.iter().filter(|(key, _)| key.starts_with(prefix));
        below.filter(|(_, item)| item.revision > revision).map(|(key, _)| key.clone()).collect()
    }

    pub fn lose_answers(&self, rule: Option<LossRule>) {
        *self.loss.lock().unwrap() = rule;
    }

    /// While it is down, the store answers every call with 503.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.data.1.notify_all();
    }

    /// The number of writing calls so far, and of those whose answer was lost.
    pub fn writes(&self) -> (u64, u64) {
        let data = self.data.0.lock().unwrap();
        (data.writes, data.lost)
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if self.is_down.load(Ordering::SeqCst) {
            return json(stream, 503, "{}");
        }
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let value = |name: &str| decode(query.get(name).copied().unwrap_or(""));
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let data = self.data.0.lock().unwrap();
                match data.items.get(&value("key")) {
                    Some(item) => {
                        let text = item_json(&value("key"), item);
                        let text = format!(
                            "{},\"current_rev\":{}}}",
                            &text[..text.len() - 1],
                            data.revision
                        );
                        drop(data);
                        json(stream, 200, &text)
                    }
                    None => {
                        drop(data);
                        json(stream, 404, "{}")
                    }
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (value("path_prefix"), value("after"));
                let text = self.data.0.lock().unwrap().page(&prefix, &after);
                json(stream, 200, &text)
            }
            ("GET", "/kv-watch") => {
                let after = value("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("wait_ms").parse().unwrap_or(0));
                match self.watch(&value("path_prefix"), after, wait) {
                    Some(text) => json(stream, 200, &text),
                    None => json(stream, 503, "{}"),
                }
            }
            ("POST", "/kv-txn") => {
                let Some(body) = Json::parse(&request.body) else {
                    return json(stream, 400, "{}");
                };
                let writes = body.get("writes").list();
                let keys: Vec<_> =
                    writes.iter().map(|write| write.get("key").text().to_string()).collect();
                self.data.0.lock().unwrap().writes += 1;
                let delay = self.loss.lock().unwrap().as_ref().and_then(|rule| rule(&keys));
                if let Some(delay) = delay {
                    self.data.0.lock().unwrap().lost += 1;
                    thread::sleep(delay);
                    self.transact(&body);
                    // The answer is lost, and the connection returns nothing further.
                    thread::sleep(Duration::from_secs(120));
                    return Ok(false);
                }
                let (status, text) = self.transact(&body);
                json(stream, status, &text)
            }
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&request.body).map_or(1_000, |body| body.get("ttl_ms").number());
                let ttl = ttl.clamp(1_000, 600_000);
                let lease = {
                    let mut data = self.data.0.lock().unwrap();
                    data.writes += 1;
                    data.next_lease += 1;
                    let lease = 70_000 + data.next_lease;
                    let time = Duration::from_millis(ttl);
                    data.leases.insert(lease, (Instant::now() + time, time));
                    lease
                };
                json(stream, 200, &format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let found = {
                    let mut data = self.data.0.lock().unwrap();
                    data.leases.get_mut(&lease).map(|(until, ttl)| {
                        *until = Instant::now() + *ttl;
                        ttl.as_millis()
                    })
                };
                match found {
                    Some(ttl) => json(stream, 200, &format!("{{\"ttl_ms\":{ttl}}}")),
                    None => json(stream, 404, "{}"),
                }
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.data.0.lock().unwrap().end_lease(lease);
                self.data.1.notify_all();
                json(stream, 200, "{}")
            }
            _ => json(stream, 404, "{}"),
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut data = self.data.0.lock().unwrap();
        let expect = body.get("expect").list();
        let differs = expect.iter().any(|row| {
            let item = data.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) != row.get("revision").number()
        });
        if differs {
            let items: Vec<_> = expect
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    data.items.get(key).map(|item| item_json(key, item))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes = body.get("writes").list();
        let lacks_lease = |write: &Json| {
            let lease = write.get("lease").number();
            lease != 0 && !data.leases.contains_key(&lease)
        };
        if writes.iter().any(lacks_lease) {
            return (404, "{}".into());
        }
        // All changes of a transaction have one revision.
        data.revision += 1;
        for write in writes {
            let (key, value) = (write.get("key").text(), write.get("value").text());
            data.put(key, value.to_string(), write.get("lease").number());
        }
        for key in body.get("remove").list() {
            data.delete(key.text());
        }
        let revision = data.revision;
        drop(data);
        self.data.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let end = Instant::now() + wait;
        let mut data = self.data.0.lock().unwrap();
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                return None;
            }
            let events: Vec<_> = data
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, text)| text.clone())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return Some(format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    data.revision
                ));
            }
            data = self.data.1.wait_timeout(data, end - now).unwrap().0;
        }
    }
}

impl StoreData {
    /// Writes an item at the current revision, which the caller has raised.
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.events.push((self.revision, key.to_string(), item_json(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let text = format!(
                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                quote(key),
                self.revision
            );
            self.events.push((self.revision, key.to_string(), text));
        }
    }

    /// Ends a lease and removes the keys that it still holds.
    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = held.map(|(key, _)| key.clone()).collect();
        self.revision += 1;
        for key in keys {
            self.delete(&key);
        }
    }

    fn page(&self, prefix: &str, after: &str) -> String {
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in &self.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if items.len() == PAGE_ITEMS || bytes >= PAGE_BYTES {
                more = true;
                break;
            }
            let text = item_json(key, item);
            bytes += text.len();
            items.push(text);
        }
        format!(
            "{{\"items\":[{}],\"more_pages\":{more},\"current_rev\":{}}}",
            items.join(","),
            self.revision
        )
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created_rev\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// Decodes percent-encoding.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn json(stream: &mut TcpStream, status: u16, text: &str) -> io::Result<bool> {
    respond(stream, status, &[("Content-Type", "application/json")], text.as_bytes())
}

// ---------------------------------------------------------------- engines

/// One arrival of a request at an engine.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub attempt: String,
    pub engine: String,
    pub at: Instant,
    pub has_run: bool,
}

/// How an engine answers a request.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Events of a stream; 0 for a plain answer.
    pub events: u64,
    /// The time of an event, or of the plain answer.
    pub time: Duration,
    /// How many requests are worked on and queued at most.
    pub capacity: usize,
    pub slots: usize,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// An engine that registers itself in the store, and heartbeats.
pub fn start_engine(
    store: &Store,
    record: &Record,
    id: &str,
    service: &str,
    zone: &str,
    work: Work,
    arrivals: &Arrivals,
) {
    let (name, log, arrivals) = (id.to_string(), record.clone(), Arc::clone(arrivals));
    let busy = Arc::new((Mutex::new((0usize, 0usize)), Condvar::new()));
    let address = serve(([127, 0, 0, 1], 0).into(), move |request, stream| {
        if request.target.starts_with("/health") {
            return respond(stream, 200, &[("Bramleywind-Instance-Id", &name)], b"");
        }
        let attempt = request.header("Bramleywind-Attempt-Id").to_string();
        let expected = request.header("Bramleywind-Expect-Instance");
        let echo = ("Bramleywind-Attempt-Id", attempt.as_str());
        if !expected.is_empty() && expected != name {
            return respond(stream, 421, &[echo, ("Bramleywind-Not-Executed", "1")], b"");
        }
        let note = |has_run: bool| {
            arrivals.lock().unwrap().push(Arrival {
                attempt: attempt.clone(),
                engine: name.clone(),
                at: Instant::now(),
                has_run,
            });
        };
        let (lock, freed) = &*busy;
        {
            let mut state = lock.lock().unwrap();
            if state.0 + state.1 >= work.capacity {
                drop(state);
                note(false);
                log.line(format!("{name} declines {attempt}: full"));
                let headers = [echo, ("Bramleywind-Not-Executed", "1")];
                return respond(stream, 503, &headers, b"full");
            }
            state.1 += 1;
            while state.0 >= work.slots {
                state = freed.wait(state).unwrap();
            }
            state.1 -= 1;
            state.0 += 1;
        }
        note(true);
        log.line(format!("{name} runs {attempt}"));
        let seal = format!("3e1b.07.{name}.{attempt}");
        let load = format!("1,0,{}", work.slots);
        let headers = [
            echo,
            ("Bramleywind-Server-Seal", seal.as_str()),
            ("Bramleywind-Server-Load", load.as_str()),
        ];
        let outcome = if work.events > 0 {
            stream_events(request, stream, &headers, work)
        } else {
            thread::sleep(work.time);
            respond(stream, 200, &headers, &vec![b'x'; 800])
        };
        lock.lock().unwrap().0 -= 1;
        freed.notify_one();
        log.line(format!(
            "{name} ends {attempt}: {}",
            if outcome.is_ok() { "whole" } else { "connection closed" }
        ));
        outcome
    });
    let (store, key) = (store.clone(), format!("servers/{id}"));
    let (service, zone, slots) = (service.to_string(), zone.to_string(), work.slots);
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    record.line(format!("engine {id} of {service} at {address}"));
    thread::spawn(move || {
        for sequence in 1u64.. {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
            );
            store.put(&key, entry.as_bytes());
            thread::sleep(Duration::from_millis(1_200));
        }
    });
}

fn stream_events(
    request: &Request,
    stream: &mut TcpStream,
    headers: &[(&str, &str)],
    work: Work,
) -> io::Result<bool> {
    let mut head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            .to_string();
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    let first = request.header("Last-Event-Id").parse::<u64>().map_or(1, |last| last + 1);
    thread::sleep(work.time);
    stream.write_all(format!("{head}\r\n").as_bytes())?;
    for event in first..=work.events {
        let text = format!("id: {event}\ndata: abcdefgh\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        if event < work.events {
            thread::sleep(work.time);
        }
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

// ---------------------------------------------------------------- gateways

/// A gateway that runs as a process of its own, started as deploy/system.toml says.
pub struct Gateway {
    pub name: String,
    pub ip: IpAddr,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Returns a port that is free at an address.
fn free_port(ip: IpAddr) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

impl Gateway {
    /// Writes the settings from the project's template and starts the process.
    pub fn start(number: u8, zone: &str, store: &Store, folder: &Path, record: &Record) -> Self {
        // The template's port for metrics is fixed, so each machine of each run has a loopback address of its own.
        let run = std::process::id();
        let octet = |value: u32| u8::try_from(value % 250 + 2).unwrap();
        let ip = IpAddr::V4(Ipv4Addr::new(127, octet(run / 250), octet(run), 10 + number));
        let name = format!("front-{zone}-{number}");
        let ports: Vec<u16> = (0..4).map(|_| free_port(ip)).collect();
        let address = |port: u16| SocketAddr::new(ip, port).to_string();
        let template = fs::read_to_string("deploy/gateway-settings.json.template")
            .expect("the script runs in the repository root");
        let fields: &[(&str, String)] = &[
            ("node", name.clone()),
            ("zone", zone.to_string()),
            ("listen.front", address(ports[0])),
            ("listen.ready", address(ports[1])),
            ("listen.directory", address(ports[2])),
            ("ip", ip.to_string()),
            ("internal_ports.0", ports[3].to_string()),
            ("platform.address", store.address.to_string()),
            ("bounds.grace_s", "8".into()),
            ("bounds.drain_ms", "2000".into()),
            ("limits.cpu_share", "0.25".into()),
            ("limits.cores", "1".into()),
            ("limits.memory_mb", "260".into()),
            ("limits.link_mbps", "1000.0".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.retry_budget_extra", "52".into()),
        ];
        let mut text = template;
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        assert!(!text.contains("{{"), "the template has a field that the script doesn't know: {text}");
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text).unwrap();
        let mut gateway = Self {
            callers: SocketAddr::new(ip, ports[0]),
            readiness: SocketAddr::new(ip, ports[1]),
            directory: SocketAddr::new(ip, ports[2]),
            log: folder.join(format!("{name}.log")),
            name,
            ip,
            settings,
            process: None,
        };
        gateway.spawn(record);
        gateway
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self, record: &Record) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let program = fs::canonicalize("target/release/bramleywind-gatewayd")
            .expect("the build of the deploy file has been made");
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        record.line(format!("{} started", self.name));
        self.process = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.readiness, "GET", "/ready", &[], b"", Duration::from_secs(1));
        answer.status == Some(200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str, record: &Record) {
        if let Some(process) = &self.process {
            let command = format!("kill -{signal} {}", process.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
            record.line(format!("{} gets SIG{signal}", self.name));
        }
    }

    /// Waits for the process to end, and returns how it ended.
    pub fn wait_for_end(&mut self, limit: Duration) -> Option<String> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(process) = &mut self.process
                && let Ok(Some(status)) = process.try_wait()
            {
                self.process = None;
                return Some(status.to_string());
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Returns how the process ended, if it has.
    pub fn exit(&mut self) -> Option<String> {
        self.wait_for_end(Duration::from_millis(30))
    }

    /// The resident memory of the process, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let Some(process) = &self.process else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) / 1024
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

// ---------------------------------------------------------------- clients

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer arrived with its end.
    pub is_whole: bool,
    pub was_connected: bool,
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }

    /// The number of whole events in the body.
    pub fn events(&self) -> u64 {
        String::from_utf8_lossy(&self.body).matches("\n\n").count() as u64
    }

    pub fn describe(&self) -> String {
        let status = self.status.map_or("no answer".into(), |status| status.to_string());
        let whole = if self.is_whole { "whole" } else { "not whole" };
        format!("{status}, {whole}, {} bytes {}", self.body.len(), self.error)
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let mut answer = Answer::default();
    if let Err(error) = try_call(address, method, target, headers, body, limit, &mut answer) {
        answer.error = error.to_string();
    }
    answer
}

fn try_call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    answer.was_connected = true;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += "Host: stand-in\r\n";
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let Some((first, answer_headers)) = read_head(&mut reader)? else {
        return Err(io::Error::other("closed without an answer"));
    };
    answer.status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    answer.headers = answer_headers;
    if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            answer.body.extend(chunk);
        }
    } else {
        let length = answer.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        answer.body = body;
    }
    answer.is_whole = true;
    Ok(())
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A new id of a client attempt.
pub fn attempt_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000u64 + NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst))
}

// ---------------------------------------------------------------- a case

/// Folders and switches of a case.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

impl Case {
    pub fn begin(number: &str) -> Self {
        let record = Record::create(Path::new(&format!("review/{number}/record.txt")));
        let folder = std::env::temp_dir().join(format!("review-{number}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(format!("case {number}, with the disruption: {has_trouble}"));
        Self { record, folder, has_trouble }
    }

    /// Writes the verdict and ends the program: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    pub fn end(self, gateways: Vec<Gateway>, code: i32, verdict: &str) -> ! {
        self.record.line(format!("verdict: {verdict}"));
        println!("{verdict}");
        drop(gateways);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code)
    }
}
