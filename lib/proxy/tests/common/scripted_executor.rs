use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

/// What an executor does after reading a request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Writes these bytes and closes the connection.
    Write(String),
    /// Sends nothing, reads no further and keeps the connection open.
    NoResponse,
    /// Waits for a permit of the gate, then answers with the body of the request.
    WaitForGate,
}

/// An executor on a raw TCP socket that treats each request as its script says.
#[derive(Debug)]
pub struct ScriptedExecutor {
    pub address: SocketAddr,
    /// Number of requests read so far.
    pub read_count: Arc<AtomicUsize>,
    /// Number of connections accepted so far.
    pub accepted_count: Arc<AtomicUsize>,
    /// Each permit lets one request of [`Script::WaitForGate`] be answered.
    pub gate: Arc<Semaphore>,
}

impl ScriptedExecutor {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let executor = Self {
            address: listener.local_addr().unwrap(),
            read_count: Arc::default(),
            accepted_count: Arc::default(),
            gate: Arc::new(Semaphore::new(0)),
        };
        let read_count = Arc::clone(&executor.read_count);
        let accepted_count = Arc::clone(&executor.accepted_count);
        let gate = Arc::clone(&executor.gate);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted_count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(run(
                    stream,
                    script.clone(),
                    Arc::clone(&read_count),
                    Arc::clone(&gate),
                ));
            }
        });
        executor
    }

    pub fn requests_read(&self) -> usize {
        self.read_count.load(Ordering::Relaxed)
    }
}

async fn run(
    mut stream: TcpStream,
    script: Script,
    read_count: Arc<AtomicUsize>,
    gate: Arc<Semaphore>,
) {
    while let Some(body) = read_request(&mut stream).await {
        read_count.fetch_add(1, Ordering::Relaxed);
        match &script {
            Script::Write(bytes) => {
                let _result = stream.write_all(bytes.as_bytes()).await;
                return;
            }
            Script::NoResponse => std::future::pending().await,
            Script::WaitForGate => {
                gate.acquire().await.unwrap().forget();
                let response = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                let _result = stream.write_all(response.as_bytes()).await;
            }
        }
    }
}

/// Reads one request and returns its body; `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buf = [0; 4_096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .map_or(0, |length| length.parse::<usize>().unwrap());
            if body.len() >= length {
                return Some(body.to_owned());
            }
        }
        let n = stream.read(&mut buf).await.ok().filter(|n| *n > 0)?;
        text.push_str(&String::from_utf8_lossy(&buf[..n]));
    }
}
