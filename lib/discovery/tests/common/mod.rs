//! Hosts that call one another in rounds.

use rand_chacha::{
    ChaCha12Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_discovery::{HostTable, LeaderAnswer, LeaderHint};
use tarragon_names::{HostName, Term};

/// Number of seeds in the settings of all hosts.
const SEEDS: usize = 3;

/// Term of the elected leader.
const TERM: Term = Term(3);

struct Host {
    name: HostName,
    table: HostTable,
    hint: LeaderHint,
    /// Whether the leader answered in the last round.
    is_in_touch: bool,
}

/// Hosts of one cell, of which the first ones hold a replica.
pub struct Hosts {
    all: Vec<Host>,
    replicas: usize,
    /// Numbers of the seeds in the settings of all hosts.
    seeds: Vec<usize>,
    /// Calls that are not answered, in percent.
    pub lost_percent: u32,
    rng: ChaCha12Rng,
    /// Whether the first host leads.
    is_elected: bool,
    round: usize,
}

impl Hosts {
    /// Hosts that were all started at once and know nothing but their seeds, which hold no replica.
    pub fn restarted(count: usize, replicas: usize) -> Self {
        Self::with_seeds(count, replicas, (count - SEEDS..count).collect(), 0)
    }

    /// Hosts of a random cell.
    pub fn random(seed: u64) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        let replicas = 3 + 2 * rng.next_u32() as usize % 4;
        let count = replicas + 6 + rng.next_u32() as usize % 200;
        let seeds = (0..SEEDS).map(|_| rng.next_u32() as usize % count);
        let mut hosts = Self::with_seeds(count, replicas, seeds.collect(), seed);
        hosts.lost_percent = rng.next_u32() % 60;
        hosts
    }

    fn with_seeds(count: usize, replicas: usize, seeds: Vec<usize>, seed: u64) -> Self {
        let host = |i| Host {
            name: HostName::from(format!("10.0.0.{i}:7000")),
            table: HostTable::default(),
            hint: LeaderHint::default(),
            is_in_touch: false,
        };
        Self {
            all: (0..count).map(host).collect(),
            replicas,
            seeds,
            lost_percent: 0,
            rng: ChaCha12Rng::seed_from_u64(seed),
            is_elected: false,
            round: 0,
        }
    }

    /// Elects the first host, which the other replicas follow from now on.
    pub fn elect(&mut self) {
        self.is_elected = true;
        let leader = self.all[0].name.clone();
        for host in &self.all[..self.replicas] {
            host.hint.follow(TERM, &leader);
        }
    }

    /// Fails a call of each follower to the leader.
    pub fn fail_calls_of_followers(&self) {
        for host in &self.all[1..self.replicas] {
            host.hint.forget(&self.all[0].name);
        }
    }

    /// Plays rounds in which each host calls its targets. Answers tell what a host knew before the
    /// round.
    pub fn play_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            let mut calls = self.calls();
            calls.retain(|_| self.rng.next_u32() % 100 >= self.lost_percent);
            let answers = calls.iter().map(|(_, to)| self.answer(*to));
            let answers = answers.collect::<Vec<_>>();
            for host in &mut self.all {
                host.is_in_touch = false;
            }
            for ((from, to), answer) in calls.into_iter().zip(answers) {
                let name = self.all[from].name.clone();
                let has_replica = from < self.replicas;
                self.all[to].table.add_announced(&name, has_replica);
                self.all[from].is_in_touch |= matches!(answer, LeaderAnswer::Leads(_));
                answer.apply(&self.all[to].name, &self.all[from].hint);
            }
            self.round += 1;
        }
    }

    /// Number of hosts that do not know the leader.
    pub fn without_leader(&self) -> usize {
        let leader = &self.all[0].name;
        let hosts = self.all.iter();
        hosts
            .filter(|host| host.hint.get().as_ref() != Some(leader))
            .count()
    }

    /// Calls of this round, by the numbers of the caller and of the called host.
    fn calls(&self) -> Vec<(usize, usize)> {
        let seeds = self.seeds.iter().map(|seed| self.all[*seed].name.clone());
        let seeds = seeds.collect::<Vec<_>>();
        let mut calls = Vec::new();
        for (from, host) in self.all.iter().enumerate() {
            let leader = host.hint.get();
            let (leader, is_in_touch) = (leader.as_ref(), host.is_in_touch);
            let targets = host
                .table
                .targets(&host.name, &seeds, leader, is_in_touch, self.round);
            for target in targets {
                let to = self.all.iter().position(|host| host.name == target);
                calls.extend(to.map(|to| (from, to)));
            }
        }
        calls
    }

    fn answer(&self, to: usize) -> LeaderAnswer {
        if to == 0 && self.is_elected {
            LeaderAnswer::Leads(TERM)
        } else {
            LeaderAnswer::Knows(self.all[to].hint.with_term())
        }
    }
}
