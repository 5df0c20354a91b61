use std::{cmp::Reverse, collections::BinaryHeap};

use tarragon_codes::Failure;

use crate::{Record, TimelineEvent, edges::happens_before, offsets::corrected_times};

/// Merges the logs of all processes into one causal order.
#[derive(Clone, Debug, Default)]
pub struct LogMerger {
    records: Vec<Record>,
    unreadable_lines: Vec<Failure>,
}

impl LogMerger {
    /// Adds the text of a log file.
    ///
    /// Lines that cannot be parsed are collected separately, because a process that is killed may
    /// leave a truncated last line.
    pub fn add_log(&mut self, file: &str, text: &str) {
        for (line_number, line) in (1..).zip(text.lines()) {
            if line.trim().is_empty() {
                continue;
            }
            match Record::parse(line, file, line_number) {
                Ok(record) => self.records.push(record),
                Err(failure) => self.unreadable_lines.push(failure),
            }
        }
    }

    /// Returns a failure for each line that could not be parsed.
    pub fn unreadable_lines(&self) -> &[Failure] {
        &self.unreadable_lines
    }

    /// Returns all events in an order in which no effect precedes its cause.
    ///
    /// If the causal relations contradict one another, the earliest remaining event is placed next.
    pub fn into_causal_order(mut self) -> Vec<TimelineEvent> {
        self.records.sort_by(|a, b| a.id.cmp(&b.id));
        self.records.dedup_by(|a, b| a.id == b.id);
        let pairs = happens_before(&self.records);
        let times = corrected_times(&self.records, &pairs);
        let order = topological_order(&pairs, &times);
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

/// Returns indexes in topological order, by time among events that `pairs` leaves unordered.
fn topological_order(pairs: &[(usize, usize)], times: &[i64]) -> Vec<usize> {
    let mut pending_causes = vec![0_usize; times.len()];
    let mut effects = vec![Vec::new(); times.len()];
    for &(from, to) in pairs {
        pending_causes[to] += 1;
        effects[from].push(to);
    }
    let mut by_time: Vec<_> = (0..times.len()).collect();
    by_time.sort_by_key(|&i| (times[i], i));
    let mut remaining_by_time = by_time.into_iter();
    let mut is_placed = vec![false; times.len()];
    let mut ready: BinaryHeap<_> = (0..times.len())
        .filter(|&i| pending_causes[i] == 0)
        .map(|i| Reverse((times[i], i)))
        .collect();
    let mut order = Vec::new();
    while order.len() < times.len() {
        let next = ready.pop().map(|Reverse((_, i))| i);
        let Some(i) = next.or_else(|| remaining_by_time.find(|&i| !is_placed[i])) else {
            break;
        };
        if std::mem::replace(&mut is_placed[i], true) {
            continue;
        }
        order.push(i);
        for &to in &effects[i] {
            pending_causes[to] = pending_causes[to].saturating_sub(1);
            if pending_causes[to] == 0 {
                ready.push(Reverse((times[to], to)));
            }
        }
    }
    order
}
