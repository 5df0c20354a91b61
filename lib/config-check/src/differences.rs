use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::Name;
use tarragon_workflow::{AdviceTerms, Queue, Team, WorkerPool};

use crate::{Change, CheckedConfiguration, Difference, Field, QueueDetails, Subject, Value};

type Fields = Vec<(Field, Value)>;

/// Returns how `after` differs from `before`, the configuration in force.
pub fn differences(before: &CheckedConfiguration, after: &CheckedConfiguration) -> Vec<Difference> {
    let mut found = Vec::new();
    compare(&mut found, &Subject::Whole, whole(before), whole(after));
    compare_queues(&mut found, before, after);
    compare_pools(&mut found, before, after);
    compare_teams(&mut found, &before.teams, &after.teams);
    found
}

/// Adds one difference for each field whose value changes. Both lists hold the same fields.
fn compare(found: &mut Vec<Difference>, subject: &Subject, before: Fields, after: Fields) {
    for ((field, before), (_, after)) in before.into_iter().zip(after) {
        if before != after {
            found.push(Difference {
                subject: subject.clone(),
                change: Change::Field {
                    field,
                    before,
                    after,
                },
            });
        }
    }
}

/// Pairs entries of the same key and calls `both` for each pair; entries without a counterpart are
/// removed or added.
fn pair<K, T, F>(
    found: &mut Vec<Difference>,
    before: &BTreeMap<K, T>,
    after: &BTreeMap<K, T>,
    subject: fn(&T) -> Subject,
    both: F,
) where
    K: Ord,
    F: Fn(&mut Vec<Difference>, &T, &T),
{
    for (key, old) in before {
        match after.get(key) {
            Some(new) => both(found, old, new),
            None => found.push(Difference {
                subject: subject(old),
                change: Change::Removed,
            }),
        }
    }
    let added = after.iter().filter(|(key, _)| !before.contains_key(key));
    found.extend(added.map(|(_, new)| Difference {
        subject: subject(new),
        change: Change::Added,
    }));
}

fn whole(checked: &CheckedConfiguration) -> Fields {
    let configuration = &checked.configuration;
    vec![
        (Field::Version, Value::Amount(configuration.version)),
        (Field::MaxBody, Value::Amount(configuration.max_body_bytes)),
    ]
}

type QueueEntry<'a> = (&'a Queue, &'a QueueDetails);

/// Compares queues by host and prefix, as the product does, so that a renamed route is one change.
/// A route that moves to another host or prefix under a name that only it has is one change as well.
fn compare_queues(
    found: &mut Vec<Difference>,
    before: &CheckedConfiguration,
    after: &CheckedConfiguration,
) {
    let mut old = by_place(before);
    let mut new = by_place(after);
    let removed = unpaired_by_name(&old, &new);
    let added = unpaired_by_name(&new, &old);
    let mut moved = Vec::new();
    for (route, old_place) in removed {
        if let (Some(old_place), Some(Some(new_place))) = (old_place, added.get(route))
            && let (Some(from), Some(to)) = (old.remove(&old_place), new.remove(new_place))
        {
            moved.push((from, to));
        }
    }
    let subject = |(_, details): &QueueEntry<'_>| Subject::Queue(details.route.clone());
    let both = |found: &mut Vec<Difference>, old: &QueueEntry<'_>, new: &QueueEntry<'_>| {
        compare(found, &subject(new), queue_fields(*old), queue_fields(*new));
    };
    pair(found, &old, &new, subject, both);
    for (from, to) in moved {
        both(found, &from, &to);
    }
}

type Place<'a> = (&'a str, &'a str);

fn by_place(checked: &CheckedConfiguration) -> BTreeMap<Place<'_>, QueueEntry<'_>> {
    let queues = checked.configuration.queues.iter();
    let queues = queues.zip(&checked.queue_details);
    queues
        .map(|entry| ((entry.0.host.as_str(), entry.0.prefix.as_str()), entry))
        .collect()
}

/// Places that only `queues` has, by route name; `None` for a name that several of them have.
fn unpaired_by_name<'a>(
    queues: &BTreeMap<Place<'a>, QueueEntry<'a>>,
    others: &BTreeMap<Place<'_>, QueueEntry<'_>>,
) -> BTreeMap<&'a str, Option<Place<'a>>> {
    let mut names = BTreeMap::new();
    for (place, (_, details)) in queues {
        if !others.contains_key(place) {
            let name = details.route.as_str();
            let entry = names.entry(name).and_modify(|entry| *entry = None);
            entry.or_insert(Some(*place));
        }
    }
    names
}

fn queue_fields((queue, details): QueueEntry<'_>) -> Fields {
    let amount = |value: u64| Value::Amount(value);
    let advice = |value: fn(&AdviceTerms) -> u64| {
        let terms = queue.advice.as_ref();
        terms.map_or(Value::Absent, |terms| Value::Amount(value(terms)))
    };
    vec![
        (Field::Route, Value::Text(details.route.clone())),
        (Field::Host, Value::Text(queue.host.clone())),
        (Field::Prefix, Value::Text(queue.prefix.clone())),
        (Field::Pool, Value::Text(Name::from(queue.pool.as_str()))),
        (Field::TimeLimit, amount(details.time_limit.0)),
        (Field::Objective, amount(queue.target_latency.0)),
        (Field::Stretch, amount(queue.stretch_permille)),
        (Field::Priority, amount(u64::from(queue.priority))),
        (Field::MaxAttempts, amount(u64::from(queue.max_attempts))),
        (Field::AdviceDecide, advice(|terms| terms.decide_us)),
        (Field::AdvicePerWorker, advice(|terms| terms.per_worker_us)),
        (Field::AdviceValid, advice(|terms| terms.valid.0)),
        (
            Field::AllowsAnonymous,
            Value::Flag(details.allows_anonymous),
        ),
    ]
}

fn compare_pools(
    found: &mut Vec<Difference>,
    before: &CheckedConfiguration,
    after: &CheckedConfiguration,
) {
    let subject = |pool: &&WorkerPool| Subject::Pool(Name::from(pool.pool.as_str()));
    pair(
        found,
        &by_pool(before),
        &by_pool(after),
        subject,
        |found, old, new| compare(found, &subject(new), pool_fields(old), pool_fields(new)),
    );
}

fn by_pool(checked: &CheckedConfiguration) -> BTreeMap<&str, &WorkerPool> {
    let pools = checked.configuration.pools.iter();
    pools.map(|pool| (pool.pool.as_str(), pool)).collect()
}

fn pool_fields(pool: &WorkerPool) -> Fields {
    vec![
        (Field::EnforcesCapacity, Value::Flag(pool.enforces_capacity)),
        (Field::PoweredOff, Value::Flag(pool.is_powered_off)),
    ]
}

fn compare_teams(found: &mut Vec<Difference>, before: &[Team], after: &[Team]) {
    let subject = |team: &&Team| Subject::Team(Name::from(team.name.as_str()));
    pair(
        found,
        &by_team(before),
        &by_team(after),
        subject,
        |found, old, new| {
            compare(found, &subject(new), team_fields(old), team_fields(new));
            let old_keys = old.keys.iter().collect::<BTreeSet<_>>();
            let new_keys = new.keys.iter().collect::<BTreeSet<_>>();
            let added = new_keys.difference(&old_keys).count();
            let removed = old_keys.difference(&new_keys).count();
            if added + removed > 0 {
                found.push(Difference {
                    subject: subject(new),
                    change: Change::Keys { added, removed },
                });
            }
        },
    );
}

fn by_team(teams: &[Team]) -> BTreeMap<&str, &Team> {
    teams
        .iter()
        .map(|team| (team.name.as_str(), team))
        .collect()
}

fn team_fields(team: &Team) -> Fields {
    vec![
        (Field::Weight, Value::Amount(team.weight)),
        (Field::CpuCap, Value::Amount(team.cap.cpu_milli)),
        (Field::MemoryCap, Value::Amount(team.cap.memory_mb)),
        (Field::AcceleratorCap, Value::Amount(team.cap.accelerators)),
    ]
}
