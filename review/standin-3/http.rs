//! HTTP/1.1 over loopback: a server with one thread per connection, and a client with one
//! connection per call.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line: of a request METHOD PATH VERSION, of a response VERSION STATUS REASON.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(k, _)| k.eq_ignore_ascii_case(name));
        found.next().map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ends before it is whole.
fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or("").to_owned();
            let headers: Vec<_> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned()))
                .collect();
            let mut msg = Message { first, headers, body: String::new() };
            let len = msg.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            while buf.len() < end + 4 + len {
                let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
                buf.extend_from_slice(&chunk[..n]);
            }
            msg.body = String::from_utf8_lossy(&buf[end + 4..end + 4 + len]).into_owned();
            buf.drain(..end + 4 + len);
            return Some(msg);
        }
        let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&chunk[..n]);
    }
}

/// What a handler does with a request.
pub enum Reply {
    /// Status and body of the response.
    Answer(u16, String),
    /// No response: the connection stays open until the caller ends it.
    Silence,
}

pub type Handler = Arc<dyn Fn(&Message) -> Reply + Send + Sync>;

/// A running server. `stop` resets its connections and frees its port.
pub struct Server {
    stop: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(addr: SocketAddr, handler: Handler) -> std::io::Result<Server> {
        let begun = Instant::now();
        let listener = loop {
            match TcpListener::bind(addr) {
                Ok(listener) => break listener,
                Err(e) if begun.elapsed() > Duration::from_secs(3) => return Err(e),
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        listener.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (stop2, streams2) = (Arc::clone(&stop), Arc::clone(&streams));
        let thread = thread::spawn(move || {
            while !stop2.load(Ordering::Acquire) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams2.lock().unwrap().push(copy);
                }
                let (handler, stop) = (Arc::clone(&handler), Arc::clone(&stop2));
                thread::spawn(move || serve(stream, &handler, &stop));
            }
        });
        Ok(Server { stop, streams, thread: Some(thread) })
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, stop: &AtomicBool) {
    let mut buf = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buf) {
        if stop.load(Ordering::Acquire) {
            return;
        }
        match handler(&request) {
            Reply::Answer(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stop.load(Ordering::Acquire) || stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                let mut sink = [0; 1024];
                while stream.read(&mut sink).is_ok_and(|n| n > 0) {}
                return;
            }
        }
    }
}

/// Makes one call; `None` if no whole response came in time.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let begun = Instant::now();
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_millis(500))).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(k, _)| k.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {addr}\r\n"));
    }
    for (k, v) in headers {
        text.push_str(&format!("{k}: {v}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let left = limit.checked_sub(begun.elapsed())?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    read_message(&mut stream, &mut Vec::new())
}
