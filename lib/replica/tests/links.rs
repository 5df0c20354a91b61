//! Queues of the links between hosts.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Barrier,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tarragon_agreement::{Entry, Payload, PeerMsg};
use tarragon_names::{HostName, LogIndex, MemberId, Term};
use tarragon_replica::{LinkObserver, LinkTiming, Links, PeerListener, PeerSink, StateLimits};
use tarragon_wire::peer::PeerEvent;
use tokio::{
    net::TcpListener,
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use yare::parameterized;

const KIB: usize = 1 << 10;

const MIB: usize = 1 << 20;

/// Timeout of each wait for a message, far above the time that a passing test needs.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(20);

const TIMING: LinkTiming = LinkTiming {
    heartbeat_interval: Duration::from_millis(100),
    silence_timeout: Duration::from_secs(20),
};

#[derive(Debug, Default)]
struct DropCount(AtomicUsize);

impl LinkObserver for DropCount {
    fn sent(&self, _: &HostName, _: usize) {}

    fn received(&self, _: &HostName, _: usize) {}

    fn inbound_frame(&self, _: usize) {}

    fn down(&self, _: &HostName) {}

    fn closed_after_silence(&self) {}

    fn dropped(&self, _: &HostName) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Arrivals(UnboundedSender<PeerEvent>);

impl PeerSink for Arrivals {
    fn receive(&self, _: &HostName, event: PeerEvent) {
        let _sent = self.0.send(event);
    }
}

/// A link to a host on the same thread, so that nothing leaves the queue while a test doesn't wait.
struct TestLink {
    links: Links,
    to: HostName,
    drops: Arc<DropCount>,
    arrivals: UnboundedReceiver<PeerEvent>,
}

impl TestLink {
    async fn start() -> Self {
        Self::to_host_with(StateLimits::new(u64::MAX, 256 * MIB as u64)).await
    }

    async fn to_host_with(limits: StateLimits) -> Self {
        let drops = Arc::<DropCount>::default();
        let observer = Arc::clone(&drops) as Arc<dyn LinkObserver>;
        let (stop, to) = (CancellationToken::new(), HostName::from("h2"));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let listener = PeerListener::new(listener, to.clone(), TIMING, Arc::clone(&observer))
            .with_state_limits(limits);
        let (tx, arrivals) = unbounded_channel();
        tokio::spawn(listener.run(Arc::new(Arrivals(tx)), stop.clone()));
        let links = Links::new(HostName::from("h1"), TIMING, observer, stop);
        links.connect(&to, address);
        Self {
            links,
            to,
            drops,
            arrivals,
        }
    }

    /// Queues messages and returns how many of them were dropped.
    fn send<I>(&self, events: I) -> usize
    where
        I: IntoIterator<Item = PeerEvent>,
    {
        let before = self.drops.0.load(Ordering::Relaxed);
        for event in events {
            self.links.send(&self.to, event);
        }
        self.drops.0.load(Ordering::Relaxed) - before
    }

    async fn next(&mut self) -> PeerEvent {
        let arrival = timeout(ARRIVAL_TIMEOUT, self.arrivals.recv());
        arrival.await.unwrap().unwrap()
    }
}

fn call(bytes: usize) -> PeerEvent {
    PeerEvent::Call {
        id: 1,
        body: Bytes::from(vec![b'a'; bytes]),
    }
}

fn append(records: usize, record_bytes: usize) -> PeerEvent {
    let entries = (1..=records as u64).map(|index| Entry {
        term: Term(1),
        index: LogIndex(index),
        payload: Payload::Record(Bytes::from(vec![b'a'; record_bytes])),
    });
    PeerEvent::Agreement {
        from: MemberId(1),
        to: MemberId(2),
        msg: PeerMsg::Append {
            term: Term(1),
            prev_index: LogIndex(0),
            prev_term: Term(0),
            entries: entries.collect(),
            commit: LogIndex(0),
            round: 1,
        },
    }
}

/// Guards against large messages that wait for a slow host and take up the memory of this one, and
/// against a bound that small messages reach before their number does.
#[parameterized(
    calls = { call(MIB), 10, 7 },
    entries = { append(256, 4 * KIB), 10, 7 },
    small_messages = { call(8), 4_097, 1 },
)]
#[test_macro(tokio::test)]
async fn queue_is_bounded_in_bytes_and_in_messages(event: PeerEvent, sent: usize, dropped: usize) {
    let link = TestLink::start().await;
    assert_eq!(link.send(vec![event; sent]), dropped);
}

/// Guards against a snapshot above the bound that never gets through, and against room that is not
/// given back.
#[tokio::test]
async fn message_above_the_bound_passes_through_an_empty_queue() {
    let mut link = TestLink::start().await;
    for _ in 0..3 {
        assert_eq!(link.send([call(10 * MIB), call(8)]), 1);
        assert_eq!(link.next().await, call(10 * MIB));
    }
    assert_eq!(link.send([call(8)]), 0);
    assert_eq!(link.next().await, call(8));
}

/// Guards against a host that collects a message which it has no memory for, and against one that
/// cannot receive its own snapshot.
#[parameterized(
    smallest_host = { 0, 15, 17 },
    host_of_256_mib = { 256, 63, 65 },
)]
#[test_macro(tokio::test)]
async fn message_size_follows_from_the_memory(memory_mib: u64, taken: usize, refused: usize) {
    let limits = StateLimits::new(u64::MAX, memory_mib * MIB as u64);
    let mut link = TestLink::to_host_with(limits).await;
    link.send([call(taken * MIB)]);
    assert_eq!(link.next().await, call(taken * MIB));
    link.send([call(refused * MIB)]);
    // The receiver closes the link; messages are lost until it is connected again.
    let arrived = loop {
        sleep(Duration::from_millis(20)).await;
        link.send([call(8)]);
        if let Ok(event) = link.arrivals.try_recv() {
            break event;
        }
    };
    assert_eq!(arrived, call(8));
}

/// Guards against a host to which nothing is ever sent, because two threads have met it at the same time
/// and one has replaced the queue of the other's link.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn host_that_several_threads_meet_at_once_is_linked() {
    const THREADS: usize = 4;
    const HOSTS: usize = 500;
    let observer = Arc::<DropCount>::default();
    let stop = CancellationToken::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let own_host = HostName::from("h1");
    let links = Arc::new(Links::new(
        own_host,
        TIMING,
        Arc::clone(&observer) as _,
        stop.clone(),
    ));
    let barrier = Arc::new(Barrier::new(THREADS));
    let host = |number| HostName::from(format!("other-{number}"));
    let threads = (0..THREADS).map(|_| {
        let (links, barrier) = (Arc::clone(&links), Arc::clone(&barrier));
        tokio::task::spawn_blocking(move || {
            for number in 0..HOSTS {
                barrier.wait();
                links.connect(&host(number), address);
            }
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        thread.await.unwrap();
    }
    // The queue of a link that is gone refuses each message.
    (0..HOSTS).for_each(|number| links.send(&host(number), call(1)));
    assert_eq!(observer.0.load(Ordering::Relaxed), 0);
    stop.cancel();
}
