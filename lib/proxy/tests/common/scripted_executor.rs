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

/// What an executor does with a request once it has read it.
#[derive(Clone, Debug)]
pub enum Script {
    /// Writes these bytes and closes the connection.
    Write(String),
    /// Reads no further and keeps the connection open.
    Nothing,
    /// Waits for a permit of the gate, then answers with the request's body.
    Gate,
}

/// An executor that follows a script byte by byte.
#[derive(Debug)]
pub struct ScriptedExecutor {
    pub address: SocketAddr,
    /// Requests read so far.
    pub read: Arc<AtomicUsize>,
    /// Connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
    pub gate: Arc<Semaphore>,
}

impl ScriptedExecutor {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let executor = Self {
            address: listener.local_addr().unwrap(),
            read: Arc::default(),
            accepted: Arc::default(),
            gate: Arc::new(Semaphore::new(0)),
        };
        let read = Arc::clone(&executor.read);
        let accepted = Arc::clone(&executor.accepted);
        let gate = Arc::clone(&executor.gate);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(run(
                    stream,
                    script.clone(),
                    Arc::clone(&read),
                    Arc::clone(&gate),
                ));
            }
        });
        executor
    }

    pub fn read(&self) -> usize {
        self.read.load(Ordering::Relaxed)
    }
}

async fn run(mut stream: TcpStream, script: Script, read: Arc<AtomicUsize>, gate: Arc<Semaphore>) {
    while let Some(body) = request(&mut stream).await {
        read.fetch_add(1, Ordering::Relaxed);
        match &script {
            Script::Write(bytes) => {
                let _sent = stream.write_all(bytes.as_bytes()).await;
                return;
            }
            Script::Nothing => std::future::pending().await,
            Script::Gate => {
                gate.acquire().await.unwrap().forget();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                let _sent = stream.write_all(answer.as_bytes()).await;
            }
        }
    }
}

/// Reads one request and gives its body.
async fn request(stream: &mut TcpStream) -> Option<String> {
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
