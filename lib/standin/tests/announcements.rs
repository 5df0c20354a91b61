//! Tests how a stand-in executor announces itself and changes to another home host.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tarragon_routing::Announcement;
use tarragon_standin::{ExecutorConfig, StandinExecutor};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{sleep, timeout},
};

/// Timeout of each wait, far longer than the waits of a passing run.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Host that stores the announcements it receives and answers with clock readings 100, 101, ...
struct FakeHost {
    address: SocketAddr,
    announcements: Arc<Mutex<Vec<Announcement>>>,
}

impl FakeHost {
    async fn start(moving: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let announcements = Arc::<Mutex<Vec<Announcement>>>::default();
        let stored = Arc::clone(&announcements);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let stored = Arc::clone(&stored);
                tokio::spawn(async move {
                    let mut buf = [0; 4_096];
                    while let Ok(n) = stream.read(&mut buf).await {
                        let text = String::from_utf8_lossy(&buf[..n]).into_owned();
                        let Some((_, body)) = text.split_once("\r\n\r\n") else {
                            return;
                        };
                        let clock = {
                            let mut announcements = stored.lock();
                            announcements.push(serde_json::from_str(body).unwrap());
                            99 + announcements.len()
                        };
                        let body =
                            format!("{{\"clock\":{clock},\"moving\":{moving},\"draining\":false}}");
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        let _sent = stream.write_all(answer.as_bytes()).await;
                    }
                });
            }
        });
        Self {
            address,
            announcements,
        }
    }

    async fn wait_for_announcements(&self, count: usize) -> Vec<Announcement> {
        wait_until(|| self.announcements.lock().len() >= count).await;
        self.announcements.lock().clone()
    }
}

async fn wait_until<F>(mut holds: F)
where
    F: FnMut() -> bool,
{
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("condition does not hold within the timeout");
}

async fn executor(hosts: Vec<SocketAddr>) -> StandinExecutor {
    StandinExecutor::start(ExecutorConfig {
        announce_interval: Duration::from_millis(20),
        max_rejoin_delay: Duration::from_millis(1),
        ..ExecutorConfig::new("e1", "reels", hosts)
    })
    .await
    .unwrap()
}

fn echoed_clocks(announcements: &[Announcement]) -> Vec<Option<u64>> {
    announcements.iter().map(|a| a.echoed_clock).collect()
}

/// Guards against a lease renewed by a clock reading that the executor did not receive.
#[tokio::test]
async fn each_announcement_echoes_the_last_answer() {
    let home = FakeHost::start(false).await;
    let _executor = executor(vec![home.address]).await;
    let announcements = home.wait_for_announcements(3).await;
    assert_eq!(
        echoed_clocks(&announcements[..3]),
        [None, Some(100), Some(101)]
    );
}

/// Guards against echoing a clock reading of the previous home host to the next one.
#[tokio::test]
async fn first_announcement_to_next_home_echoes_no_clock() {
    let stopping = FakeHost::start(true).await;
    let next = FakeHost::start(false).await;
    let _executor = executor(vec![stopping.address, next.address]).await;
    assert_eq!(
        echoed_clocks(&next.wait_for_announcements(2).await[..2]),
        [None, Some(100)]
    );
    assert_eq!(
        echoed_clocks(&stopping.wait_for_announcements(1).await),
        [None]
    );
}

/// Guards against an executor that keeps announcing itself only to a home host that is gone.
#[tokio::test]
async fn unreachable_home_is_replaced_by_next_host() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let next = FakeHost::start(false).await;
    let _executor = executor(vec![address, next.address]).await;
    next.wait_for_announcements(2).await;
}

/// Guards against an executor that stops before it has announced the leave to the home host.
#[tokio::test]
async fn leave_is_announced_before_the_stop() {
    let home = FakeHost::start(false).await;
    let executor = executor(vec![home.address]).await;
    home.wait_for_announcements(2).await;
    timeout(WAIT_TIMEOUT, executor.leave()).await.unwrap();
    assert!(
        home.announcements
            .lock()
            .iter()
            .any(|announced| announced.leaving)
    );
}
