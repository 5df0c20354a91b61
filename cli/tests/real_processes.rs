//! Injects faults into real processes on loopback and checks the records of callers, workers and
//! executors.
//!
//! Guards against accepted work that is lost or runs twice, workers that are overcommitted, and
//! answers that contradict the recorded runs, when a process is killed, pauses, loses its disk or
//! stops.

mod support;

use std::{fs, time::Duration};

use futures::future::join_all;
use nix::sys::signal::Signal;
use support::Cell;
use tarragon_catalogue::Pattern;
use tarragon_cli::trial::{Load, ReportedOutcomes, settle};
use tarragon_codes::Code;
use tarragon_front::HostView;
use tarragon_names::{JobName, Revision};
use tokio::{
    runtime::Runtime,
    sync::Mutex,
    time::{sleep, timeout},
};
use yare::parameterized;

/// Deployments run one after the other, since each uses eleven processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Worker lease of these tests, so that pauses beyond it stay short.
const WORKER_LEASE_MS: i64 = 4_000;

/// A pause longer than the leases of workers, leader and catalogue.
const PAUSE_DURATION: Duration = Duration::from_millis(6_500);

/// Duration of the load, long enough for the fault and the recovery.
const LOAD_DURATION: Duration = Duration::from_secs(12);

/// Time from the start of the load to the fault.
const BEFORE_FAULT: Duration = Duration::from_secs(2);

/// Longest wait for the jobs to end after the load.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest run of one case; only a hang reaches it.
const CASE_TIMEOUT: Duration = Duration::from_secs(240);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    KillLeader,
    KillLeaderTwice,
    PauseLeader,
    PauseWorkers,
    KillWorkers,
    LoseDisk,
    LoseTwoVotersOneAfterTheOther,
    PauseVoterBeyondItsReplacement,
    StopEntryHost,
    StopLeader,
}

impl Fault {
    async fn inject(self, cell: &mut Cell) {
        sleep(BEFORE_FAULT).await;
        match self {
            Self::KillLeader => kill_leader(cell).await,
            Self::KillLeaderTwice => {
                kill_leader(cell).await;
                kill_leader(cell).await;
            }
            Self::PauseLeader => {
                let leader = cell.with_role("leader").await;
                pause(cell, &leader).await;
            }
            Self::PauseWorkers => pause(cell, "workers").await,
            Self::KillWorkers => {
                // Kills and restarts the workers so that their leases end and they return
                // without tasks.
                cell.session.replace_standin("workers").await.unwrap();
            }
            Self::LoseDisk => {
                let voter = cell.with_role("voter").await;
                lose_disk(cell, &voter).await;
            }
            Self::LoseTwoVotersOneAfterTheOther => {
                let first = cell.with_role("voter").await;
                lose_disk(cell, &first).await;
                let name = first.clone();
                cell.wait_until("the repair", move |hosts| {
                    hosts
                        .iter()
                        .filter(|host| host.role != "entry" && host.reachable)
                        .count()
                        >= 6
                        && hosts
                            .iter()
                            .any(|host| host.name.as_str() == name && host.reachable)
                })
                .await;
                let second = cell.with_role("voter").await;
                cell.kill(&second).await;
                sleep(PAUSE_DURATION).await;
                cell.session.restart(&second).unwrap();
            }
            Self::PauseVoterBeyondItsReplacement => {
                let voter = cell.with_role("voter").await;
                pause(cell, &voter).await;
                cell.wait_until("the return of the voter", move |hosts| {
                    let returned = |host: &HostView| {
                        host.name.as_str() == voter && host.role != "entry" && host.reachable
                    };
                    hosts.iter().any(returned)
                        && hosts.iter().filter(|host| host.role != "entry").count() >= 6
                })
                .await;
            }
            Self::StopEntryHost => {
                let host = cell.with_role("entry").await;
                assert!(
                    cell.stop(&host).await,
                    "{host} did not exit successfully on SIGTERM"
                );
                cell.session.restart(&host).unwrap();
            }
            Self::StopLeader => {
                let host = cell.with_role("leader").await;
                assert!(
                    cell.stop(&host).await,
                    "{host} did not exit successfully on SIGTERM"
                );
                cell.session.restart(&host).unwrap();
            }
        }
    }

    /// Returns whether a caller may be informed that an outcome is unknown.
    fn may_leave_unknown_outcomes(self) -> bool {
        !matches!(
            self,
            Self::StopEntryHost | Self::StopLeader | Self::PauseWorkers
        )
    }
}

async fn kill_leader(cell: &mut Cell) {
    let leader = cell.with_role("leader").await;
    cell.kill(&leader).await;
    sleep(Duration::from_secs(1)).await;
    cell.session.restart(&leader).unwrap();
}

async fn pause(cell: &mut Cell, name: &str) {
    cell.signal(name, Signal::SIGSTOP);
    sleep(PAUSE_DURATION).await;
    cell.signal(name, Signal::SIGCONT);
}

async fn lose_disk(cell: &mut Cell, host: &str) {
    cell.kill(host).await;
    fs::remove_dir_all(cell.session.data(host)).unwrap();
    cell.session.restart(host).unwrap();
}

#[parameterized(
    leader_is_killed = { Fault::KillLeader },
    two_leaders_are_killed = { Fault::KillLeaderTwice },
    leader_is_paused_beyond_its_leases = { Fault::PauseLeader },
    workers_are_paused_beyond_their_lease = { Fault::PauseWorkers },
    workers_are_killed_and_come_back = { Fault::KillWorkers },
    voter_loses_its_disk = { Fault::LoseDisk },
    second_voter_is_lost_right_after_the_repair = { Fault::LoseTwoVotersOneAfterTheOther },
    voter_is_paused_until_it_was_replaced = { Fault::PauseVoterBeyondItsReplacement },
    entry_host_stops_as_planned = { Fault::StopEntryHost },
    leader_stops_as_planned = { Fault::StopLeader },
)]
fn fault_leaves_every_outcome_right(fault: Fault) {
    run(async {
        let timing = [
            ("worker_lease_ms", WORKER_LEASE_MS),
            ("replace_after_ms", 2_000),
        ];
        let mut cell = Cell::start(&timing).await;
        let load = Load::new(cell.session.clients(), 7);
        let example = cell.example.clone();
        let (mut reported, ()) =
            tokio::join!(load.run(&example, LOAD_DURATION), fault.inject(&mut cell));
        settle(&cell.session.clients()[0], &mut reported, SETTLE_TIMEOUT).await;
        let unknown = unknown_answers(&reported);
        assert!(
            fault.may_leave_unknown_outcomes() || unknown.is_empty(),
            "{unknown:?}"
        );
        let wrong = cell.stop_and_check(&reported).await;
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    });
}

/// Guards against two operators who both receive success for conflicting changes, and against a
/// resent write that is applied twice.
#[test]
fn operators_race_at_equal_revisions_and_resend() {
    run(async {
        let cell = Cell::start(&[]).await;
        let clients = cell.session.clients();
        let mut entry = cell.example.entries[0].clone();
        entry.pattern = "race/*".to_owned().into();
        let puts = clients.iter().enumerate().map(|(n, client)| {
            let (entry, id) = (entry.clone(), format!("race-{n}"));
            async move { client.put_entry(&entry, Revision(0), &id).await }
        });
        let answers = join_all(puts).await;
        let won = answers.iter().filter(|answer| answer.is_ok()).count();
        assert_eq!(won, 1, "{answers:?}");
        for (n, answer) in answers.iter().enumerate() {
            let other = &clients[(n + 1) % clients.len()];
            let again = other
                .put_entry(&entry, Revision(0), &format!("race-{n}"))
                .await;
            match answer {
                Ok(revision) => assert_eq!(again.as_ref().ok(), Some(revision)),
                Err(failure) => {
                    assert_eq!(failure.code, Code::RevisionConflict);
                    assert!(again.is_err());
                }
            }
        }
        let entries = clients[0].history(&entry.pattern).await.unwrap();
        assert_eq!(entries.len(), 1, "{entries:?}");
    });
}

/// Guards against an isolated host that keeps using its outdated catalogue after its isolation.
/// A paused process simulates the isolation: its connections stay open without traffic.
#[test]
fn host_that_was_cut_off_does_not_decide_by_an_old_entry() {
    run(async {
        let mut cell = Cell::start(&[]).await;
        let name = JobName::from("kino-odd/slot-check");
        let host = cell.with_role("entry").await;
        let address = cell
            .session
            .hosts()
            .iter()
            .find(|h| h.name == host)
            .unwrap()
            .http;
        let other = cell
            .session
            .hosts()
            .iter()
            .find(|h| h.name != host)
            .unwrap()
            .http;
        let (own, other) = (
            cell.session.client(0).with_host(address),
            cell.session.client(0).with_host(other),
        );
        // New executors get nothing until the lease at a former home host has certainly ended.
        while own
            .request(&name, "before".into(), None, None)
            .await
            .is_err()
        {
            sleep(BEFORE_FAULT).await;
        }

        cell.signal(&host, Signal::SIGSTOP);
        let pattern = Pattern::Exact(name.clone());
        let revision = other.entry(&pattern).await.unwrap().revision;
        other
            .delete_entry(&pattern, revision, "cut-delete")
            .await
            .unwrap();
        sleep(PAUSE_DURATION).await;
        cell.signal(&host, Signal::SIGCONT);
        for n in 0..200 {
            let answer = own
                .request(&name, format!("after-{n}").into(), None, None)
                .await;
            let code = answer
                .map(|reply| reply.status)
                .map_err(|failure| failure.code);
            let refused = [Code::CatalogueNotFresh, Code::NoEntry, Code::KindNotAllowed];
            assert!(
                code.is_err_and(|code| refused.contains(&code)),
                "request {n}: {code:?}"
            );
        }
    });
}

/// Runs a case while no other case runs.
fn run<F>(case: F)
where
    F: Future<Output = ()>,
{
    Runtime::new().unwrap().block_on(async {
        let _one = ONE_AT_A_TIME.lock().await;
        assert!(
            timeout(CASE_TIMEOUT, case).await.is_ok(),
            "the case exceeded {CASE_TIMEOUT:?}"
        );
    });
}

/// Returns requests whose callers received an unknown outcome or an unreachable host.
fn unknown_answers(reported: &ReportedOutcomes) -> Vec<String> {
    let lost = [
        Code::OutcomeUnknown,
        Code::CutShort,
        Code::HostUnreachable,
        Code::NotConfirmed,
    ];
    reported
        .requests
        .iter()
        .filter_map(|request| match &request.answer {
            Err(failure) if lost.contains(&failure.code) => {
                Some(format!("{}: {failure}", request.id))
            }
            _ => None,
        })
        .collect()
}
