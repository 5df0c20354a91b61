//! Large messages in parts.

use std::collections::VecDeque;

use bytes::Bytes;
use tarragon_names::HostName;
use tarragon_wire::{
    FrameAssembler, MAX_PEER_FRAME_BYTES,
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

/// Guards against a host that collects parts until its memory is used up, and against a snapshot that
/// is refused although it is within the limit of its receiver.
#[parameterized(
    below = { 500_000, true },
    above = { 700_000, false },
)]
fn collected_parts_are_bounded(bytes: usize, arrives: bool) {
    let from = HostName::from("10.0.0.1:1");
    let sent = PeerFrame::encoded_parts(&from, Some(&message(bytes)));
    let mut assembler = FrameAssembler::new(600_000);
    let received = sent.iter().map(|part| assembler.accept(part));
    assert_eq!(received.collect::<Result<Vec<_>, _>>().is_ok(), arrives);
}

/// Guards against a part that the limit of frames refuses.
#[test]
fn parts_fit_into_frames() {
    let from = HostName::from("h".repeat(1_000).as_str());
    let sent = PeerFrame::encoded_parts(&from, Some(&message(3 * MAX_PEER_FRAME_BYTES)));
    assert!(sent.iter().all(|part| part.len() <= MAX_PEER_FRAME_BYTES));
}
