//! A running HTTP interface with a fake host behind it, called over raw sockets.
#![expect(dead_code, reason = "each test file uses a part of this module")]

mod fake_host_api;

use std::{net::SocketAddr, sync::Arc, time::Duration};

pub use fake_host_api::FakeHostApi;
use tarragon_front::{FrontConfig, FrontLimits, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Operator token of the test server.
pub const OPERATOR_TOKEN: &str = "operators-token";

/// Timeout of each wait for a socket, far above the time that a passing test needs.
pub const SOCKET_TIMEOUT: Duration = Duration::from_secs(20);

/// A running HTTP interface with a fake host.
pub struct TestServer {
    pub address: SocketAddr,
    pub host_api: Arc<FakeHostApi>,
    pub shutdown: CancellationToken,
    pub ended: JoinHandle<()>,
}

impl TestServer {
    pub async fn start(limits: FrontLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let host_api = Arc::<FakeHostApi>::default();
        let shutdown = CancellationToken::new();
        let cfg = FrontConfig {
            token: Some(OPERATOR_TOKEN.into()),
            limits,
            render_metrics: Arc::new(|| "tarragon_up 1\n".to_owned()),
            set_log_level: Arc::new(|level| level == "debug"),
            ..FrontConfig::default()
        };
        let serving = serve(listener, Arc::clone(&host_api) as _, cfg, shutdown.clone());
        Self {
            address,
            host_api,
            shutdown,
            ended: tokio::spawn(serving),
        }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Sends bytes on a new connection and reads until the server closes it.
    pub async fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect().await;
        // The server may close before it has read all of a refused request.
        let _sent = stream.write_all(bytes).await;
        read_to_end(&mut stream).await
    }

    /// Makes one call on a connection of its own and returns the whole answer.
    pub async fn call(&self, line: &str, headers: &str, body: &str) -> String {
        let head = format!(
            "{line} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n",
            body.len()
        );
        self.exchange((head + body).as_bytes()).await
    }
}

/// Reads until the server closes or resets the connection.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        match timeout(SOCKET_TIMEOUT, stream.read(&mut buf))
            .await
            .unwrap()
        {
            Ok(0) | Err(_) => return String::from_utf8_lossy(&text).into_owned(),
            Ok(n) => text.extend_from_slice(&buf[..n]),
        }
    }
}

/// Header line with the operator token.
pub fn operator_header() -> String {
    format!("authorization: Bearer {OPERATOR_TOKEN}\r\n")
}
