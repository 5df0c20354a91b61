use std::{collections::BTreeMap, error::Error};

use bytes::Bytes;
use datadriven::TestCase;
use tarragon_agreement::{Event, Members, Replica, Role};
use tarragon_names::{HostName, MemberId};

use crate::fakes::Cluster;

/// Maximum simulated time that a command waits for the expected state.
const COMMAND_TIMEOUT_MS: u64 = 20_000;

/// Interpreter of scenario scripts.
///
/// The value of `host=` is a host name, `leader`, `follower`, or an alias defined by
/// `name ALIAS=host`. Results that depend on random timeouts, such as the name of the leader, are
/// not printed.
#[derive(Debug, Default)]
pub struct Script {
    cluster: Option<Cluster>,
    /// Hosts by alias.
    aliases: BTreeMap<String, String>,
    last_leader: Option<String>,
}

impl Script {
    pub fn run(&mut self, case: &mut TestCase) -> Result<String, Box<dyn Error>> {
        let output = self.command(case)?;
        case.expect_empty()?;
        Ok(output + "\n")
    }

    fn command(&mut self, case: &mut TestCase) -> Result<String, Box<dyn Error>> {
        if case.directive == "cluster" {
            let voters = case.take_arg("voters")?;
            let learners = case.try_take_arg("standbys")?.unwrap_or(0);
            self.cluster = Some(Cluster::new(voters, learners, case.take_arg("seed")?));
            return Ok(self.leader(COMMAND_TIMEOUT_MS));
        }
        let host = case.try_take_arg::<String>("host")?;
        let host = host.map_or_else(String::new, |name| self.resolve(&name));
        let cluster = self.cluster();
        match case.directive.as_str() {
            "run" => cluster.run(case.take_arg("ms")?),
            "kill" => cluster.kill(&host, case.try_take_arg("torn")?.unwrap_or(0)),
            "start" => cluster.start(&host),
            "lose-disk" => cluster.lose_disk(&host),
            "pause" => cluster.host(&host).paused = true,
            "resume" => cluster.host(&host).paused = false,
            "cut" => cluster.network.cut(&host),
            "heal" => cluster.network.heal(),
            "fail-sync" => cluster.host(&host).disk.fails_sync = true,
            "sync-after" => cluster.host(&host).sync_delay_ms = case.take_arg("ms")?,
            "name" => {
                for (name, values) in std::mem::take(&mut case.args) {
                    let host = self.resolve(&values[0]);
                    self.aliases.insert(name, host);
                }
            }
            "running" => {
                let running = cluster.host(&host).is_running();
                return Ok(if running { "running" } else { "ended" }.to_owned());
            }
            "leader" => {
                let within = case.try_take_arg("within")?;
                return Ok(self.leader(within.unwrap_or(COMMAND_TIMEOUT_MS)));
            }
            "propose" => return Ok(self.propose(&host, case.take_arg("n")?)),
            "settle" => return Ok(self.wait_until_equal()),
            "read" => return Ok(self.request(&host, |token| Event::Read { token })),
            "join" => return Ok(self.join(&host)),
            "replace" => {
                let lost = case.take_arg::<String>("lost")?;
                let by = case.take_arg::<String>("by")?;
                return Ok(self.replace(&lost, &by));
            }
            "transfer" => {
                let leader = self.resolve("leader");
                self.cluster().step(&leader, Event::TransferLeadership);
            }
            "members" => return Ok(self.members()),
            "snapshots" => return Ok(cluster.host(&host).snapshots_installed.to_string()),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok("ok".to_owned())
    }

    fn cluster(&mut self) -> &mut Cluster {
        self.cluster
            .as_mut()
            .expect("a script starts with 'cluster'")
    }

    fn resolve(&mut self, name: &str) -> String {
        if name == "leader" {
            return self.cluster().leader().expect("a leader");
        }
        if name == "follower" {
            let leader = self.resolve("leader");
            let members = self.member_list();
            let hosts = &self.cluster().hosts;
            let is_voter = |id| members.is_voter(id);
            let other = hosts
                .iter()
                .find(|h| h.name != leader && h.is_running() && is_voter(h.id));
            return other.expect("a follower").name.clone();
        }
        self.aliases
            .get(name)
            .cloned()
            .unwrap_or_else(|| name.to_owned())
    }

    /// Runs until `done`, or for at most `ms`; returns whether `done` was reached.
    fn wait<F>(&mut self, ms: u64, mut done: F) -> bool
    where
        F: FnMut(&mut Cluster) -> bool,
    {
        let cluster = self.cluster();
        let end = cluster.now + ms;
        while !done(cluster) {
            if cluster.now >= end {
                return false;
            }
            cluster.run(10);
        }
        true
    }

    fn leader(&mut self, within: u64) -> String {
        let before = self.last_leader.clone();
        let found = self.wait(within, |cluster| {
            let leader = cluster.leader();
            leader.is_some_and(|name| {
                let now = cluster.now;
                let host = cluster.host(&name);
                let clock = host.clock(now);
                let replica = host
                    .replica
                    .as_ref()
                    .expect("the host's process is running");
                host.is_running() && replica.lease_valid(clock)
            })
        });
        if !found {
            return "no leader".to_owned();
        }
        let leader = self.cluster().leader();
        let answer = match before {
            None => "a leader",
            before if before == leader => "the same leader",
            Some(_) => "another leader",
        };
        self.last_leader = leader;
        answer.to_owned()
    }

    fn propose(&mut self, host: &str, n: u64) -> String {
        let host = if host.is_empty() {
            self.resolve("leader")
        } else {
            host.to_owned()
        };
        let cluster = self.cluster();
        let mut refused = 0;
        for _ in 0..n {
            let token = cluster.next_token();
            let records = vec![Bytes::from(format!("record {token}"))];
            cluster.step(&host, Event::Propose { token, records });
            cluster.run(2);
            let answers = &cluster.host(&host).answers;
            refused += usize::from(answers.contains(&(token, None)));
        }
        format!("{refused} of {n} refused")
    }

    /// Waits until all running and connected hosts have applied every committed entry.
    fn wait_until_equal(&mut self) -> String {
        let are_hosts_equal = |cluster: &mut Cluster| {
            let committed = cluster.committed_index();
            let hosts = cluster.hosts.iter().filter(|h| h.is_running());
            let mut connected = hosts.filter(|h| cluster.network.connects(&h.name, &h.name));
            connected.all(|h| {
                let last = h.replica.as_ref().map(Replica::last_index);
                h.applied_index == committed && last == Some(committed)
            })
        };
        if !self.wait(COMMAND_TIMEOUT_MS, are_hosts_equal) {
            return "hosts differ".to_owned();
        }
        let cluster = self.cluster();
        let hosts = cluster.hosts.iter().filter(|h| h.is_running());
        let connected = hosts.filter(|h| cluster.network.connects(&h.name, &h.name));
        let count = connected.count();
        format!("{} records on {count} hosts", cluster.records())
    }

    /// Sends a request to a host and waits for its answer.
    fn request<F>(&mut self, host: &str, event: F) -> String
    where
        F: FnOnce(u64) -> Event,
    {
        let token = self.cluster().next_token();
        self.cluster().step(host, event(token));
        let host = host.to_owned();
        let answer = |cluster: &mut Cluster| {
            let answers = cluster.host(&host).answers.iter();
            answers.rev().find(|(t, _)| *t == token).copied()
        };
        self.wait(COMMAND_TIMEOUT_MS, |cluster| answer(cluster).is_some());
        match answer(self.cluster()) {
            Some((_, Some(_))) => "done",
            Some((_, None)) => "refused",
            None => "no answer",
        }
        .to_owned()
    }

    fn join(&mut self, host: &str) -> String {
        let leader = self.resolve("leader");
        let id = self.cluster().host(host).id;
        let host = HostName::from(host);
        self.request(&leader, |token| Event::AddLearner { token, id, host })
    }

    /// Replaces the voter on one host with the learner on another.
    fn replace(&mut self, lost: &str, by: &str) -> String {
        let (lost, by) = (self.resolve(lost), self.resolve(by));
        let mut members = self.member_list();
        let find = |host: &str, role: Role| -> Option<MemberId> {
            let mut all = members.by_id.iter();
            let found = all.find(|(_, m)| m.host.as_str() == host && m.role == role);
            found.map(|(id, _)| *id)
        };
        let (Some(lost), Some(by)) = (find(&lost, Role::Voter), find(&by, Role::Learner)) else {
            return "no such members".to_owned();
        };
        members.by_id.remove(&lost);
        members.by_id.get_mut(&by).expect("a learner").role = Role::Voter;
        let leader = self.resolve("leader");
        self.request(&leader, |token| Event::ChangeMembers { token, members })
    }

    fn member_list(&mut self) -> Members {
        let leader = self.resolve("leader");
        let replica = &self.cluster().host(&leader).replica;
        replica
            .as_ref()
            .expect("the host's process is running")
            .members()
            .clone()
    }

    fn members(&mut self) -> String {
        let members = self.member_list();
        let count = |role| members.by_id.values().filter(|m| m.role == role).count();
        format!(
            "{} voters, {} learners",
            count(Role::Voter),
            count(Role::Learner)
        )
    }
}
