//! Large messages in parts.

use std::collections::VecDeque;

use bytes::Bytes;
use tarragon_names::HostName;
use tarragon_wire::{
    FrameAssembler,
    peer::{PeerEvent, PeerFrame},
};
use yare::parameterized;

fn message(bytes: usize) -> PeerEvent {
    let body = (0..bytes).map(|i| i as u8).collect::<Vec<_>>();
    PeerEvent::Call {
        id: 7,
        body: Bytes::from(body),
    }
}

/// Guards against a large message that occupies a slow link for so long that the link counts as
/// silent, and against a message that arrives changed.
#[parameterized(
    small = { 100, 1 },
    at_the_limit = { 17_000, 2 },
    configuration = { 500_000, 31 },
)]
fn message_arrives_whole(bytes: usize, parts: usize) {
    let from = HostName::from("10.0.0.1:1");
    let sent = PeerFrame::encoded_parts(&from, Some(&message(bytes)));
    assert_eq!(sent.len(), parts);
    assert!(sent.iter().all(|part| part.len() < 20_000));
    let mut assembler = FrameAssembler::default();
    let received = sent.iter().map(|part| assembler.accept(part).unwrap());
    let received = received.collect::<Vec<_>>();
    assert!(received.iter().all(|(host, _)| *host == from));
    let events = received.into_iter().filter_map(|(_, event)| event);
    assert_eq!(events.collect::<Vec<_>>(), [message(bytes)]);
}

/// Guards against parts of one message that spoil the next, and against heartbeats that are lost
/// between them.
#[test]
fn messages_follow_one_another() {
    let from = HostName::from("10.0.0.1:1");
    let mut frames = VecDeque::new();
    for bytes in [40_000, 10, 90_000] {
        frames.extend(PeerFrame::encoded_parts(&from, Some(&message(bytes))));
        frames.extend(PeerFrame::encoded_parts(&from, None));
    }
    let mut assembler = FrameAssembler::default();
    let events = frames
        .iter()
        .filter_map(|part| assembler.accept(part).unwrap().1);
    let expected = [message(40_000), message(10), message(90_000)];
    assert_eq!(events.collect::<Vec<_>>(), expected);
}
