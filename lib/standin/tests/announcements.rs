//! How a stand-in executor announces itself and finds another home.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tarragon_routing::Announcement;
use tarragon_standin::{ExecutorConfig, StandinExecutor};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{sleep, timeout},
};

/// Bound of each wait; it is far above what a healthy run needs.
const PATIENCE: Duration = Duration::from_secs(20);

/// A host that keeps announcements and answers with clock readings 100, 101, ...
struct Home {
    address: SocketAddr,
    heard: Arc<Mutex<Vec<Announcement>>>,
}

impl Home {
    async fn start(moving: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let heard = Arc::<Mutex<Vec<Announcement>>>::default();
        let keep = Arc::clone(&heard);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let keep = Arc::clone(&keep);
                tokio::spawn(async move {
                    let mut buf = [0; 4_096];
                    while let Ok(n) = stream.read(&mut buf).await {
                        let text = String::from_utf8_lossy(&buf[..n]).into_owned();
                        let Some((_, body)) = text.split_once("\r\n\r\n") else {
                            return;
                        };
                        let clock = {
                            let mut heard = keep.lock();
                            heard.push(serde_json::from_str(body).unwrap());
                            99 + heard.len()
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
        Self { address, heard }
    }

    async fn heard(&self, count: usize) -> Vec<Announcement> {
        until(|| self.heard.lock().len() >= count).await;
        self.heard.lock().clone()
    }
}

async fn until<F>(mut holds: F)
where
    F: FnMut() -> bool,
{
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, wait)
        .await
        .expect("condition does not come to hold");
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

fn echoes(heard: &[Announcement]) -> Vec<Option<u64>> {
    heard.iter().map(|a| a.echoed_clock).collect()
}

/// Guards against a lease that is renewed by a reading the executor did not get.
#[tokio::test]
async fn each_announcement_echoes_the_last_answer() {
    let home = Home::start(false).await;
    let _executor = executor(vec![home.address]).await;
    let heard = home.heard(3).await;
    assert_eq!(echoes(&heard[..3]), [None, Some(100), Some(101)]);
}

/// Guards against a reading of the former home being echoed to the next one.
#[tokio::test]
async fn next_home_hears_no_echo_of_the_former() {
    let stops = Home::start(true).await;
    let next = Home::start(false).await;
    let _executor = executor(vec![stops.address, next.address]).await;
    assert_eq!(echoes(&next.heard(2).await[..2]), [None, Some(100)]);
    assert_eq!(echoes(&stops.heard(1).await), [None]);
}

/// Guards against an executor that stays with a home that has vanished.
#[tokio::test]
async fn vanished_home_is_left() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    let next = Home::start(false).await;
    let _executor = executor(vec![address, next.address]).await;
    next.heard(2).await;
}

/// Guards against a stop before the home has heard of the leave.
#[tokio::test]
async fn leave_is_announced_before_the_stop() {
    let home = Home::start(false).await;
    let executor = executor(vec![home.address]).await;
    home.heard(2).await;
    timeout(PATIENCE, executor.leave()).await.unwrap();
    assert!(home.heard.lock().iter().any(|announced| announced.leaving));
}
