//! Periodic announcements of a stand-in executor to its home host.

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

/// Consecutive failed announcements after which the executor changes to the next host in its list.
const FAILURES_BEFORE_MOVE: u32 = 2;

/// Hosts tried within one announcement interval while each answers that it is stopping.
const MOVES_PER_INTERVAL: u32 = 10;

/// Announces an executor to its home host until the token is cancelled.
///
/// Each announcement echoes the clock reading of the home host's last answer. The first announcement
/// to a new home host has no reading to echo, so the second one follows at once.
pub(crate) async fn announce(
    state: Arc<ExecutorState>,
    address: SocketAddr,
    epoch: u64,
    announce_now: Arc<Notify>,
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
    let mut home_index = 0;
    let mut last_clock = None;
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
            echoed_clock: last_clock,
            running: Some(state.running()),
        };
        let host = client.with_host(cfg.hosts[home_index % cfg.hosts.len()]);
        let answer = tokio::select! {
            answer = host.announce(&announcement) => answer,
            () = stop.cancelled() => return,
        };
        let mut pause = cfg.announce_interval;
        if let Ok(reply) = answer {
            failures = 0;
            if leaving {
                state.record_leave();
            }
            if reply.moving && cfg.hosts.len() > 1 && !leaving {
                home_index += 1;
                last_clock = None;
                pause = cfg.announce_interval / MOVES_PER_INTERVAL;
            } else {
                if last_clock.is_none() {
                    pause = Duration::ZERO;
                }
                last_clock = Some(reply.clock);
            }
        } else {
            failures += 1;
            if failures >= FAILURES_BEFORE_MOVE {
                failures = 0;
                home_index += 1;
                last_clock = None;
                pause = state.rejoin_delay();
            }
        }
        tokio::select! {
            _ = timeout(pause, announce_now.notified()) => {}
            () = stop.cancelled() => return,
        }
    }
}
