use std::cmp::Reverse;

use prometheus::IntGaugeVec;
use tarragon_dispatch::TeamReport;
use tarragon_names::Resources;

/// Number of teams that have values of their own, those with the largest shares first.
const MAX_LABELLED_TEAMS: usize = 100;

/// Longest name that is used as a label, in bytes.
const MAX_LABEL_BYTES: usize = 128;

/// What the teams use and wait for, while this host leads.
#[derive(Clone, Debug)]
pub struct TeamGauges {
    /// Processor time in thousandths of a core by team and kind: used, share or cap.
    cpu: IntGaugeVec,
    /// Waiting tasks by team and kind: all of them, or those that the cap keeps waiting.
    waiting: IntGaugeVec,
}

impl TeamGauges {
    pub(crate) fn new(cpu: IntGaugeVec, waiting: IntGaugeVec) -> Self {
        Self { cpu, waiting }
    }

    /// Replaces all values.
    pub(crate) fn set(&self, mut reports: Vec<TeamReport>) {
        self.cpu.reset();
        self.waiting.reset();
        reports.retain(|report| report.team.len() <= MAX_LABEL_BYTES);
        reports.sort_by_key(|report| Reverse(report.share.cpu_milli));
        for report in reports.iter().take(MAX_LABELLED_TEAMS) {
            let team = report.team.as_str();
            let cpu = |kind: &str, resources: &Resources| {
                let value = i64::try_from(resources.cpu_milli).unwrap_or(i64::MAX);
                self.cpu.with_label_values(&[team, kind]).set(value);
            };
            cpu("used", &report.used);
            cpu("share", &report.share);
            cpu("cap", &report.cap);
            let waiting = |kind: &str, tasks: u64| {
                let gauge = self.waiting.with_label_values(&[team, kind]);
                gauge.set(tasks as i64);
            };
            waiting("all", report.waiting_tasks);
            waiting("cap", report.capped_tasks);
        }
    }
}
