use std::{cmp::Reverse, collections::BinaryHeap};

use tarragon_codes::Failure;

use crate::{Record, TimelineEvent, edges::edges, offsets::times};

/// Collects the logs of all processes.
#[derive(Clone, Debug, Default)]
pub struct LogMerger {
    records: Vec<Record>,
    unread: Vec<Failure>,
}

impl LogMerger {
    /// Takes the text of a log file.
    ///
    /// Lines that cannot be read are kept apart: a process that is killed leaves the last line cut.
    pub fn add_log(&mut self, file: &str, text: &str) {
        for (number, line) in (1..).zip(text.lines()) {
            if line.trim().is_empty() {
                continue;
            }
            match Record::parse(line, file, number) {
                Ok(record) => self.records.push(record),
                Err(failure) => self.unread.push(failure),
            }
        }
    }

    /// Lines that could not be read.
    pub fn unreadable_lines(&self) -> &[Failure] {
        &self.unread
    }

    /// All events in an order in which no effect precedes its cause.
    ///
    /// Should the relations contradict one another, the earliest event of the rest goes first.
    pub fn into_causal_order(mut self) -> Vec<TimelineEvent> {
        self.records.sort_by(|a, b| a.id.cmp(&b.id));
        self.records.dedup_by(|a, b| a.id == b.id);
        let edges = edges(&self.records);
        let times = times(&self.records, &edges);
        let order = sorted(&edges, &times);
        let mut records: Vec<_> = self.records.into_iter().map(Some).collect();
        let merged = order.into_iter().filter_map(|i| {
            let record = records[i].take()?;
            Some(TimelineEvent {
                record,
                corrected_ms: times[i],
            })
        });
        merged.collect()
    }
}

/// Positions in topological order, by time where the edges leave a choice.
fn sorted(edges: &[(usize, usize)], times: &[i64]) -> Vec<usize> {
    let mut causes = vec![0_usize; times.len()];
    let mut effects = vec![Vec::new(); times.len()];
    for &(from, to) in edges {
        causes[to] += 1;
        effects[from].push(to);
    }
    let mut by_time: Vec<_> = (0..times.len()).collect();
    by_time.sort_by_key(|&i| (times[i], i));
    let mut rest = by_time.into_iter();
    let mut done = vec![false; times.len()];
    let mut ready: BinaryHeap<_> = (0..times.len())
        .filter(|&i| causes[i] == 0)
        .map(|i| Reverse((times[i], i)))
        .collect();
    let mut order = Vec::new();
    while order.len() < times.len() {
        let next = ready.pop().map(|Reverse((_, i))| i);
        let Some(i) = next.or_else(|| rest.find(|&i| !done[i])) else {
            break;
        };
        if std::mem::replace(&mut done[i], true) {
            continue;
        }
        order.push(i);
        for &to in &effects[i] {
            causes[to] = causes[to].saturating_sub(1);
            if causes[to] == 0 {
                ready.push(Reverse((times[to], to)));
            }
        }
    }
    order
}
