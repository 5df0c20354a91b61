use std::collections::BTreeSet;

use tarragon_workflow::{Queue, Team};

use crate::{
    CheckedConfiguration, Finding, QueueDetails,
    reach::{Reach, is_host_matchable, is_prefix_matchable},
};

/// Returns the entries that never match, the limits that contradict each other and, if the
/// configuration in force is known, whether the version is too low to replace it.
pub fn findings(
    checked: &CheckedConfiguration,
    in_force: Option<&CheckedConfiguration>,
) -> Vec<Finding> {
    let queues = &checked.configuration.queues;
    let mut findings = unmatched_queues(queues);
    findings.extend(unused_pools(checked));
    findings.extend(unmatched_teams(checked));
    let queues = queues.iter().zip(&checked.queue_details).enumerate();
    findings.extend(queues.flat_map(|(queue, (model, details))| limits(queue, model, details)));
    findings.extend(zero_weights(&checked.teams));
    findings.extend(in_force.and_then(|in_force| version_not_higher(checked, in_force)));
    findings
}

fn unmatched_queues(queues: &[Queue]) -> Vec<Finding> {
    let places = queues.iter();
    let reach = Reach::new(places.map(|queue| (queue.host.as_str(), queue.prefix.as_str())));
    let findings = queues.iter().enumerate().filter_map(|(queue, model)| {
        if !is_host_matchable(&model.host) {
            return Some(Finding::UnmatchableHost { queue });
        }
        if !is_prefix_matchable(&model.prefix) {
            return Some(Finding::UnmatchablePrefix { queue });
        }
        let by = reach.covering_queue(&model.host, &model.prefix)?;
        Some(Finding::CoveredPrefix { queue, by })
    });
    findings.collect()
}

fn unused_pools(checked: &CheckedConfiguration) -> Vec<Finding> {
    let configuration = &checked.configuration;
    let used = configuration.queues.iter().map(|queue| &queue.pool);
    let used = used.collect::<BTreeSet<_>>();
    let pools = configuration.pools.iter().enumerate();
    let unused = pools.filter(|(_, model)| !used.contains(&model.pool));
    unused
        .map(|(pool, _)| Finding::UnusedPool { pool })
        .collect()
}

fn unmatched_teams(checked: &CheckedConfiguration) -> Vec<Finding> {
    let is_key_required = checked.queue_details.iter().any(|d| !d.allows_anonymous);
    let findings = checked
        .teams
        .iter()
        .enumerate()
        .filter_map(|(team, model)| {
            if model.keys.is_empty() {
                Some(Finding::TeamWithoutKeys { team })
            } else if !is_key_required {
                Some(Finding::UnrequiredKeys { team })
            } else {
                None
            }
        });
    let mut findings = findings.collect::<Vec<_>>();
    let keys = checked.unmatchable_keys.iter();
    findings.extend(keys.map(|&(team, key)| Finding::UnmatchableKey { team, key }));
    findings
}

fn limits(queue: usize, model: &Queue, details: &QueueDetails) -> Vec<Finding> {
    let mut findings = Vec::new();
    if details.time_limit < model.target_latency {
        findings.push(Finding::TimeLimitBelowObjective {
            queue,
            time_limit: details.time_limit,
            objective: model.target_latency,
        });
    }
    if model.max_attempts == 0 {
        findings.push(Finding::NoAttempts { queue });
    }
    if let Some(advice) = &model.advice {
        let arrival_us = advice.decide_us.saturating_add(advice.per_worker_us);
        if advice.valid.0.saturating_mul(1_000) <= arrival_us {
            findings.push(Finding::AdviceExpiresInTransit {
                queue,
                arrival_us,
                valid: advice.valid,
            });
        }
    }
    findings
}

fn zero_weights(teams: &[Team]) -> Option<Finding> {
    let is_zero = !teams.is_empty() && teams.iter().all(|team| team.weight == 0);
    is_zero.then_some(Finding::ZeroWeights)
}

fn version_not_higher(
    checked: &CheckedConfiguration,
    in_force: &CheckedConfiguration,
) -> Option<Finding> {
    let version = checked.configuration.version;
    let in_force = in_force.configuration.version;
    (version <= in_force).then_some(Finding::VersionNotHigher { version, in_force })
}
