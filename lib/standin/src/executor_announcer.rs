//! Announcements of a stand-in executor.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tarragon_client::{Client, ClientConfig};
use tarragon_routing::Announcement;
use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::executor_state::ExecutorState;

/// Failed announcements in a row after which another home is sought.
const FAILURES: u32 = 2;

/// Homes tried within one beat while each says that it stops.
const MOVES_IN_BEAT: u32 = 10;

/// Announces an executor to its home until the token is cancelled.
///
/// Each announcement echoes the clock reading of the home's last answer. At a new home there is none
/// yet: the first announcement goes without it and the second follows at once.
pub(crate) async fn announce(
    state: Arc<ExecutorState>,
    address: SocketAddr,
    epoch: u64,
    wake: Arc<Notify>,
    stop: CancellationToken,
) {
    let cfg = &state.cfg;
    if cfg.hosts.is_empty() {
        return;
    }
    let client = Client::new(ClientConfig {
        token: cfg.token.clone(),
        timeout: cfg.announce_interval,
        host_timeout: cfg.announce_interval,
        connect_timeout: cfg.announce_interval,
        ..ClientConfig::new(cfg.hosts.iter().copied())
    });
    let mut home = 0;
    let mut echo = None;
    let mut failures = 0;
    loop {
        let leaving = state.leaving.load(Ordering::Relaxed);
        let announcement = Announcement {
            name: cfg.name.clone(),
            pool: cfg.pool.clone(),
            domain: cfg.domain.clone(),
            address: address.to_string(),
            slots: cfg.slots,
            connections: cfg.connections,
            busy: state.busy.load(Ordering::Relaxed),
            leaving,
            epoch,
            echoed_clock: echo,
            running: Some(state.running()),
        };
        let host = client.at(cfg.hosts[home % cfg.hosts.len()]);
        let answer = tokio::select! {
            answer = host.announce(&announcement) => answer,
            () = stop.cancelled() => return,
        };
        let mut pause = cfg.announce_interval;
        if let Ok(reply) = answer {
            failures = 0;
            if leaving {
                state.left();
            }
            if reply.moving && cfg.hosts.len() > 1 && !leaving {
                home += 1;
                echo = None;
                pause = cfg.announce_interval / MOVES_IN_BEAT;
            } else {
                if echo.is_none() {
                    pause = Duration::ZERO;
                }
                echo = Some(reply.clock);
            }
        } else {
            failures += 1;
            if failures >= FAILURES {
                failures = 0;
                home += 1;
                echo = None;
                pause = state.rejoin_delay();
            }
        }
        tokio::select! {
            _ = timeout(pause, wake.notified()) => {}
            () = stop.cancelled() => return,
        }
    }
}
