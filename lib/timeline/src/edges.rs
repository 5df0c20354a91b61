//! Which event certainly happened before which other.

use std::collections::{BTreeMap, HashMap};

use tarragon_names::Name;

use crate::Record;

/// Event of a leader that proposes an entry of the replicated log.
const PROPOSED: &str = "proposed";

/// Events of an attempt, each certainly after the first one of the kind before it.
const ATTEMPT: [(&str, &str); 2] = [
    ("start_sent", "task_began"),
    ("task_ended", "attempt_ended"),
];

/// Event of a replica that won an election.
const ELECTED: &str = "became_leader";

/// Pairs of positions, the first before the second, for records sorted by process and count.
pub fn edges(records: &[Record]) -> Vec<(usize, usize)> {
    let mut edges = within_processes(records);
    edges.extend(by_messages(records));
    edges.extend(by_log(records));
    edges.extend(by_attempts(records));
    edges.retain(|(from, to)| from != to);
    edges
}

fn within_processes(records: &[Record]) -> Vec<(usize, usize)> {
    let next = (1..records.len()).map(|to| (to - 1, to));
    next.filter(|&(from, to)| records[from].id.process == records[to].id.process)
        .collect()
}

fn by_messages(records: &[Record]) -> Vec<(usize, usize)> {
    let mut processes: BTreeMap<&Name, BTreeMap<u64, usize>> = BTreeMap::new();
    for (at, record) in records.iter().enumerate() {
        let events = processes.entry(&record.id.process).or_default();
        events.insert(record.id.seq, at);
    }
    let follows = records.iter().enumerate().filter_map(|(to, record)| {
        let after = record.after.as_ref()?;
        // An event below the log level is not there; the last one before it came earlier still.
        let (_, &from) = processes
            .get(&after.process)?
            .range(..=after.seq)
            .next_back()?;
        Some((from, to))
    });
    follows.collect()
}

/// An entry is proposed before anything else happens to it, and a leader is elected before it
/// decides anything. An entry that was replaced has another epoch.
fn by_log(records: &[Record]) -> Vec<(usize, usize)> {
    let place = |record: &Record| Some((record.number("epoch")?, record.number("index")?));
    let mut proposed = HashMap::new();
    let mut elected = HashMap::new();
    for (at, record) in records.iter().enumerate() {
        match (record.event.as_str(), place(record), record.number("epoch")) {
            (PROPOSED, Some(place), _) => {
                proposed.entry(place).or_insert(at);
            }
            (ELECTED, _, Some(epoch)) => {
                elected.entry(epoch).or_insert(at);
            }
            _ => {}
        }
    }
    let mut edges = Vec::new();
    for (to, record) in records.iter().enumerate() {
        let from = place(record).and_then(|place| proposed.get(&place));
        edges.extend(from.map(|&from| (from, to)));
        let decided = ["index", "task", "job"]
            .iter()
            .any(|key| record.fields.contains_key(*key));
        if decided {
            let from = record.number("epoch").and_then(|epoch| elected.get(&epoch));
            edges.extend(from.map(|&from| (from, to)));
        }
    }
    edges
}

/// A leader sends a start before the worker begins, and the worker ends before the leader knows.
fn by_attempts(records: &[Record]) -> Vec<(usize, usize)> {
    let attempt = |record: &Record| Some((record.field("task")?, record.number("attempt")?));
    let mut edges = Vec::new();
    for (cause, effect) in ATTEMPT {
        let mut first = HashMap::new();
        for (from, record) in records.iter().enumerate() {
            if record.event.as_str() == cause
                && let Some(attempt) = attempt(record)
            {
                first.entry(attempt).or_insert(from);
            }
        }
        for (to, record) in records.iter().enumerate() {
            if record.event.as_str() == effect
                && let Some(from) = attempt(record).and_then(|attempt| first.get(&attempt))
            {
                edges.push((*from, to));
            }
        }
    }
    edges
}
