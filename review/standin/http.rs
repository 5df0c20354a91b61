//! HTTP/1.1 over the standard library: one thread a connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// A request as a server gets it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Status and body.
pub type Answer = (u16, String);

/// Answers a request; `None` leaves it without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Answer> + Send + Sync>;

/// Sends a request on a connection of its own and waits for the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    (&stream).write_all(format!("{head}{body}").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, read_body(&mut reader, &headers)?))
}

type Headers = Vec<(String, String)>;

fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<(String, Headers)>> {
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
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body<R: BufRead>(reader: &mut R, headers: &Headers) -> io::Result<String> {
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length.and_then(|(_, value)| value.parse::<usize>().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// A server that can be closed with all its connections, as if its process had ended, or cut off, as
/// by a partition: then nothing passes in either direction, and what was under way is lost.
pub struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    is_open: AtomicBool,
    is_cut: AtomicBool,
    /// Rises with each cut; a connection of an earlier epoch carries nothing any more.
    epoch: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            is_open: AtomicBool::new(true),
            is_cut: AtomicBool::new(false),
            epoch: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, &accepting, &handler));
        Ok(Self { shared })
    }

    /// Ends the server as the end of its process does.
    pub fn close(&self) {
        self.shared.is_open.store(false, Ordering::SeqCst);
        self.drop_connections();
        // The accepting thread closes the listener within its pause.
        thread::sleep(Duration::from_millis(20));
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.shared.is_cut.store(is_cut, Ordering::SeqCst);
        self.shared.epoch.fetch_add(1, Ordering::SeqCst);
        if !is_cut {
            self.drop_connections();
        }
    }

    fn drop_connections(&self) {
        let mut connections = self.shared.connections.lock().expect("no panics");
        for stream in connections.drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>, handler: &Handler) {
    while shared.is_open.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let Ok(kept) = stream.try_clone() else {
            continue;
        };
        let mut connections = shared.connections.lock().expect("no panics");
        connections.retain(|stream| stream.peer_addr().is_ok());
        connections.push(kept);
        drop(connections);
        let _set = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let (shared, handler) = (Arc::clone(shared), Arc::clone(handler));
        thread::spawn(move || {
            let epoch = shared.epoch.load(Ordering::SeqCst);
            if !shared.is_cut.load(Ordering::SeqCst) {
                // Errors are those of the peer.
                let _ended = serve(stream, &shared, epoch, &handler);
            }
        });
    }
}

/// Serves a connection until it ends or falls silent because of a cut.
fn serve(stream: TcpStream, shared: &Shared, epoch: u64, handler: &Handler) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let is_dead = || !shared.is_open.load(Ordering::SeqCst) || shared.epoch.load(Ordering::SeqCst) != epoch;
    while let Some((first, headers)) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ').map(str::to_owned);
        let (Some(method), Some(path)) = (words.next(), words.next()) else {
            return Ok(());
        };
        if is_dead() {
            return Ok(());
        }
        let request = Request {
            method,
            path,
            headers,
            body,
        };
        // A request without an answer keeps its connection, which stays silent.
        let Some((status, body)) = handler(request) else {
            return Ok(());
        };
        if is_dead() {
            return Ok(());
        }
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        out.write_all(answer.as_bytes())?;
    }
    // The peer has ended the connection.
    let _closed = out.shutdown(Shutdown::Both);
    Ok(())
}
