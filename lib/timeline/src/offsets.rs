//! Correction of clock differences between processes that contradict the causal order.

use std::collections::HashMap;

use tarragon_names::Name;

use crate::Record;

/// Returns the time of each record in milliseconds, corrected so that no effect precedes its cause.
///
/// The correction is one offset per process, raised until the events of the process follow their
/// causes. Clocks that drift far apart can leave a contradiction, so the merge uses these times only
/// to sort events that are not causally related.
pub fn corrected_times(records: &[Record], pairs: &[(usize, usize)]) -> Vec<i64> {
    let uncorrected = monotonic_times(records);
    let mut offsets: HashMap<&Name, i64> = HashMap::new();
    let processes = records.iter().map(|record| &record.id.process);
    let max_rounds = processes.collect::<std::collections::HashSet<_>>().len();
    let at = |offsets: &HashMap<&Name, i64>, i: usize| {
        uncorrected[i] + offsets.get(&records[i].id.process).copied().unwrap_or(0)
    };
    for _ in 0..max_rounds {
        let mut changed = false;
        for &(from, to) in pairs {
            if records[from].id.process == records[to].id.process {
                continue;
            }
            let excess = at(&offsets, from) - at(&offsets, to);
            if excess > 0 {
                *offsets.entry(&records[to].id.process).or_default() += excess;
                changed = true;
            }
        }
        if !changed {
            break;
        }
    }
    (0..records.len()).map(|i| at(&offsets, i)).collect()
}

/// Returns the wall clock at the start of each process plus its monotonic clock, so that a change of
/// the wall clock during the run has no effect.
fn monotonic_times(records: &[Record]) -> Vec<i64> {
    let mut starts: HashMap<&Name, i64> = HashMap::new();
    let mut times = Vec::new();
    for record in records {
        let time = record.mono.map_or(record.ts as i64, |mono| {
            let start = record.ts as i64 - mono as i64;
            mono as i64 + *starts.entry(&record.id.process).or_insert(start)
        });
        times.push(time);
    }
    times
}
