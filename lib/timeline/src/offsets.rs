//! Corrections of clocks that contradict cause.

use std::collections::HashMap;

use tarragon_names::Name;

use crate::Record;

/// Time of each record in milliseconds, corrected so that effects do not precede causes.
///
/// Each process gets one offset, raised until its events follow those that caused them. Clocks that
/// drift a lot may leave a contradiction; the order of the merge does not rely on these times.
pub fn times(records: &[Record], edges: &[(usize, usize)]) -> Vec<i64> {
    let steady = steady_times(records);
    let mut offsets: HashMap<&Name, i64> = HashMap::new();
    let processes = records.iter().map(|record| &record.id.process);
    let rounds = processes.collect::<std::collections::HashSet<_>>().len();
    let at = |offsets: &HashMap<&Name, i64>, i: usize| {
        steady[i] + offsets.get(&records[i].id.process).copied().unwrap_or(0)
    };
    for _ in 0..rounds {
        let mut changed = false;
        for &(from, to) in edges {
            if records[from].id.process == records[to].id.process {
                continue;
            }
            let early = at(&offsets, from) - at(&offsets, to);
            if early > 0 {
                *offsets.entry(&records[to].id.process).or_default() += early;
                changed = true;
            }
        }
        if !changed {
            break;
        }
    }
    (0..records.len()).map(|i| at(&offsets, i)).collect()
}

/// Wall clock at the start of each process plus its monotonic clock, so that a wall clock which is
/// set during the run moves nothing.
fn steady_times(records: &[Record]) -> Vec<i64> {
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
