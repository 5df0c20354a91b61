//! Happens-before relation between events, as far as the logs show it.

use std::collections::{BTreeMap, HashMap};

use tarragon_names::Name;

use crate::Record;

/// Event of a leader when it proposes an entry of the replicated log.
const PROPOSED: &str = "proposed";

/// Pairs of events of one attempt. The first event of the left kind happens before each event of the
/// right kind.
const ATTEMPT_PAIRS: [(&str, &str); 2] = [
    ("start_sent", "task_began"),
    ("task_ended", "attempt_ended"),
];

/// Event of a replica when it has won an election.
const ELECTED: &str = "became_leader";

/// Returns pairs of indexes into `records`; the first event of a pair happened before the second.
///
/// `records` must be sorted by process and sequence number.
pub fn happens_before(records: &[Record]) -> Vec<(usize, usize)> {
    let mut pairs = process_order(records);
    pairs.extend(message_order(records));
    pairs.extend(replicated_log_order(records));
    pairs.extend(attempt_order(records));
    pairs.retain(|(from, to)| from != to);
    pairs
}

/// Places each event after the previous event of the same process.
fn process_order(records: &[Record]) -> Vec<(usize, usize)> {
    let consecutive = (1..records.len()).map(|to| (to - 1, to));
    consecutive
        .filter(|&(from, to)| records[from].id.process == records[to].id.process)
        .collect()
}

/// Places each event after the event that it names as its cause.
fn message_order(records: &[Record]) -> Vec<(usize, usize)> {
    let mut processes: BTreeMap<&Name, BTreeMap<u64, usize>> = BTreeMap::new();
    for (index, record) in records.iter().enumerate() {
        let events = processes.entry(&record.id.process).or_default();
        events.insert(record.id.seq, index);
    }
    let follows = records.iter().enumerate().filter_map(|(to, record)| {
        let after = record.after.as_ref()?;
        // The cause is missing if it was below the log level. The last logged event before it in
        // the same process happened earlier too, so that one is used instead.
        let (_, &from) = processes
            .get(&after.process)?
            .range(..=after.seq)
            .next_back()?;
        Some((from, to))
    });
    follows.collect()
}

/// Places the events of a log entry after its proposal, and the decisions of a leader after its
/// election. The epoch distinguishes an entry from the one that replaced it at the same index.
fn replicated_log_order(records: &[Record]) -> Vec<(usize, usize)> {
    let entry_id = |record: &Record| Some((record.number("epoch")?, record.number("index")?));
    let mut proposed = HashMap::new();
    let mut elected = HashMap::new();
    for (index, record) in records.iter().enumerate() {
        match (
            record.event.as_str(),
            entry_id(record),
            record.number("epoch"),
        ) {
            (PROPOSED, Some(id), _) => {
                proposed.entry(id).or_insert(index);
            }
            (ELECTED, _, Some(epoch)) => {
                elected.entry(epoch).or_insert(index);
            }
            _ => {}
        }
    }
    let mut pairs = Vec::new();
    for (to, record) in records.iter().enumerate() {
        let from = entry_id(record).and_then(|id| proposed.get(&id));
        pairs.extend(from.map(|&from| (from, to)));
        let is_decision = ["index", "task", "job"]
            .iter()
            .any(|key| record.fields.contains_key(*key));
        if is_decision {
            let from = record.number("epoch").and_then(|epoch| elected.get(&epoch));
            pairs.extend(from.map(|&from| (from, to)));
        }
    }
    pairs
}

/// Places the start of an attempt on a worker after the leader's order to start it, and the leader's
/// record of the end after the end on the worker. Orders to workers carry no event id, so events are
/// matched by task and attempt number.
fn attempt_order(records: &[Record]) -> Vec<(usize, usize)> {
    let attempt_id = |record: &Record| Some((record.field("task")?, record.number("attempt")?));
    let mut pairs = Vec::new();
    for (cause, effect) in ATTEMPT_PAIRS {
        let mut first = HashMap::new();
        for (from, record) in records.iter().enumerate() {
            if record.event.as_str() == cause
                && let Some(id) = attempt_id(record)
            {
                first.entry(id).or_insert(from);
            }
        }
        for (to, record) in records.iter().enumerate() {
            if record.event.as_str() == effect
                && let Some(from) = attempt_id(record).and_then(|id| first.get(&id))
            {
                pairs.push((*from, to));
            }
        }
    }
    pairs
}
