//! Differences between two configurations.

use tarragon_config_check::{
    Change, CheckedConfiguration, Difference, Field, QueueDetails, Subject, Value, differences,
};
use tarragon_names::{Millis, Name, PoolName, Resources, TeamName};
use tarragon_workflow::{AdviceTerms, Configuration, KeyDigest, Queue, Team, WorkerPool};
use yare::parameterized;

fn add_queue(checked: &mut CheckedConfiguration, route: &str, prefix: &str) {
    checked.configuration.queues.push(Queue {
        name: Name::from(format!("h{prefix}")),
        host: Name::from("h"),
        prefix: Name::from(prefix),
        pool: PoolName::from("s"),
        priority: 0,
        max_attempts: 1,
        stretch_permille: 1_000,
        target_latency: Millis(0),
        advice: None,
    });
    checked.queue_details.push(QueueDetails {
        route: Name::from(route),
        time_limit: Millis(1_000),
        allows_anonymous: false,
    });
}

fn remove_queue(checked: &mut CheckedConfiguration, index: usize) {
    checked.configuration.queues.remove(index);
    checked.queue_details.remove(index);
}

fn keys(keys: &[&str]) -> Vec<KeyDigest> {
    keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect()
}

fn pool(name: &str) -> WorkerPool {
    WorkerPool {
        pool: PoolName::from(name),
        enforces_capacity: false,
        is_powered_off: false,
    }
}

fn team(name: &str) -> Team {
    Team {
        name: TeamName::from(name),
        keys: keys(&["k", "l"]),
        weight: 1_000,
        cap: Resources::new(5, u64::MAX, u64::MAX),
    }
}

fn in_force() -> CheckedConfiguration {
    let mut checked = CheckedConfiguration {
        configuration: Configuration {
            version: 7,
            pools: vec![pool("s")],
            max_body_bytes: 10,
            ..Configuration::default()
        },
        teams: vec![team("t")],
        ..CheckedConfiguration::default()
    };
    add_queue(&mut checked, "a", "/a/");
    add_queue(&mut checked, "b", "/b/");
    checked
}

fn field(subject: Subject, field: Field, before: Value, after: Value) -> Difference {
    let change = Change::Field {
        field,
        before,
        after,
    };
    Difference { subject, change }
}

fn queue(route: &str) -> Subject {
    Subject::Queue(Name::from(route))
}

fn text(text: &str) -> Value {
    Value::Text(Name::from(text))
}

fn whole(subject: Subject, change: Change) -> Difference {
    Difference { subject, change }
}

type Edit = fn(&mut CheckedConfiguration);

/// Guards against a change that an operator is not told of, or is told of under another name or with
/// another value.
#[parameterized(
    nothing = { |_| {}, &[] },
    text_only = { |c| c.configuration.text = Name::from(" "), &[] },
    version = {
        |c| c.configuration.version = 8,
        &[field(Subject::Whole, Field::Version, Value::Amount(7), Value::Amount(8))]
    },
    body = {
        |c| c.configuration.max_body_bytes = 11,
        &[field(Subject::Whole, Field::MaxBody, Value::Amount(10), Value::Amount(11))]
    },
    order_of_queues = { |c| { c.configuration.queues.swap(0, 1); c.queue_details.swap(0, 1); }, &[] },
    queue_added = { |c| add_queue(c, "c", "/c/"), &[whole(queue("c"), Change::Added)] },
    queue_removed = { |c| remove_queue(c, 0), &[whole(queue("a"), Change::Removed)] },
    route_renamed = {
        |c| c.queue_details[0].route = Name::from("z"),
        &[field(queue("z"), Field::Route, text("a"), text("z"))]
    },
    routes_exchange_names = {
        |c| c.queue_details.swap(0, 1),
        &[field(queue("b"), Field::Route, text("a"), text("b")), field(queue("a"), Field::Route, text("b"), text("a"))]
    },
    prefix_moved = {
        |c| { remove_queue(c, 0); add_queue(c, "a", "/x/"); },
        &[field(queue("a"), Field::Prefix, text("/a/"), text("/x/"))]
    },
    name_taken_twice_is_no_move = {
        |c| { remove_queue(c, 0); add_queue(c, "a", "/x/"); add_queue(c, "a", "/y/"); },
        &[whole(queue("a"), Change::Removed), whole(queue("a"), Change::Added), whole(queue("a"), Change::Added)]
    },
    time_limit = {
        |c| c.queue_details[1].time_limit = Millis(9),
        &[field(queue("b"), Field::TimeLimit, Value::Amount(1_000), Value::Amount(9))]
    },
    several_fields = {
        |c| { c.configuration.queues[0].priority = 2; c.configuration.queues[0].stretch_permille = 0; },
        &[
            field(queue("a"), Field::Stretch, Value::Amount(1_000), Value::Amount(0)),
            field(queue("a"), Field::Priority, Value::Amount(0), Value::Amount(2)),
        ]
    },
    anonymous = {
        |c| c.queue_details[0].allows_anonymous = true,
        &[field(queue("a"), Field::AllowsAnonymous, Value::Flag(false), Value::Flag(true))]
    },
    advice_added = {
        |c| c.configuration.queues[0].advice = Some(AdviceTerms { decide_us: 1, per_worker_us: 2, valid: Millis(3) }),
        &[
            field(queue("a"), Field::AdviceDecide, Value::Absent, Value::Amount(1)),
            field(queue("a"), Field::AdvicePerWorker, Value::Absent, Value::Amount(2)),
            field(queue("a"), Field::AdviceValid, Value::Absent, Value::Amount(3)),
        ]
    },
    pool_added = { |c| c.configuration.pools.push(pool("t")), &[whole(Subject::Pool("t".into()), Change::Added)] },
    pool_removed = { |c| c.configuration.pools.clear(), &[whole(Subject::Pool("s".into()), Change::Removed)] },
    pool_powered_off = {
        |c| c.configuration.pools[0].is_powered_off = true,
        &[field(Subject::Pool("s".into()), Field::PoweredOff, Value::Flag(false), Value::Flag(true))]
    },
    team_added = { |c| c.teams.push(team("u")), &[whole(Subject::Team("u".into()), Change::Added)] },
    team_removed = { |c| c.teams.clear(), &[whole(Subject::Team("t".into()), Change::Removed)] },
    weight = {
        |c| c.teams[0].weight = 1,
        &[field(Subject::Team("t".into()), Field::Weight, Value::Amount(1_000), Value::Amount(1))]
    },
    cap = {
        |c| c.teams[0].cap.cpu_milli = u64::MAX,
        &[field(Subject::Team("t".into()), Field::CpuCap, Value::Amount(5), Value::Amount(u64::MAX))]
    },
    order_of_keys = { |c| c.teams[0].keys = keys(&["l", "k"]), &[] },
    keys_exchanged = {
        |c| c.teams[0].keys = keys(&["l", "m", "n"]),
        &[whole(Subject::Team("t".into()), Change::Keys { added: 2, removed: 1 })]
    },
)]
fn difference_is_found(edit: Edit, expected: &[Difference]) {
    let before = in_force();
    let mut after = before.clone();
    edit(&mut after);
    assert_eq!(differences(&before, &after), expected);
}
