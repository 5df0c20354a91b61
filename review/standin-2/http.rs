//! HTTP/1.1 over blocking sockets: a server with one thread a connection, and a client with one
//! connection a call.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a server gets it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Header by its lower-case name.
    pub fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map_or("", |(_, value)| value)
    }
}

type Head = (String, Vec<(String, String)>, String);

fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    let mut length = 0;
    let mut is_chunked = false;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let (name, value) = (name.trim().to_lowercase(), value.trim().to_owned());
        if name == "content-length" {
            length = value.parse().unwrap_or(0);
        }
        is_chunked |= name == "transfer-encoding" && value.eq_ignore_ascii_case("chunked");
        headers.push((name, value));
    }
    if is_chunked {
        let cause = "bodies in chunks are not read here";
        return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Answers of a server: status and body, or none to close the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Serves on a listener until the process ends.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Request) -> Answer + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, handler.as_ref()));
        }
    });
}

fn serve_connection<F>(stream: TcpStream, handler: &F)
where
    F: Fn(&Request) -> Answer,
{
    let _set = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some((first, headers, body))) = read_message(&mut reader) {
        let mut words = first.split(' ');
        let request = Request {
            method: words.next().unwrap_or_default().to_owned(),
            path: words.next().unwrap_or_default().to_owned(),
            headers,
            body,
        };
        let Some((status, body)) = handler(&request) else {
            return;
        };
        let text = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends one request; the answer is its status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some((first, _, body)) = read_message(&mut reader)? else {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "no answer"));
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no status"))?;
    Ok((status, body))
}
