//! `tarragon-trial`: a small deployment on loopback, its mix of work, and a check of each outcome.
//!
//! Exit codes: 0 all outcomes are right, 1 some are wrong, 2 usage error, 3 the trial did not run.

mod checks;
mod deployment;
mod example;
mod job_template;
mod load;
mod loopback_net;
mod metrics_sample;
mod mix;
mod process;
mod reported_job;
mod reported_outcomes;
mod reported_request;
mod request_history;
mod request_template;
mod session;
mod summary;
mod task_history;
mod task_run;
mod team_quota;
mod trial_host;

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use getopts::{Matches, Options};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};

use crate::command_line::CommandLine;

pub use self::{
    checks::wrong_outcomes,
    deployment::Deployment,
    example::Example,
    load::{Load, settle},
    loopback_net::LoopbackNet,
    metrics_sample::MetricsSample,
    process::Process,
    reported_job::ReportedJob,
    reported_outcomes::ReportedOutcomes,
    reported_request::ReportedRequest,
    request_history::RequestHistory,
    session::Session,
    task_history::TaskHistory,
    task_run::TaskRun,
    trial_host::TrialHost,
};

/// Longest wait for the jobs to end after the last one was sent.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs one command line.
pub fn run(args: &[String]) -> ExitCode {
    let line = CommandLine::new("tarragon-trial", "[OPTIONS] EXAMPLE", options());
    let matches = match line.parse(args) {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    let [example] = matches.free.as_slice() else {
        return line.refuse("give the folder of one example, as in examples/kovacik");
    };
    let numbers = ["seconds", "scale"].map(|name| matches.opt_get::<u16>(name));
    let [Ok(seconds), Ok(scale)] = numbers else {
        return line.refuse("--seconds and --scale must be numbers up to 65535");
    };
    let Ok(seed) = matches.opt_get::<u32>("seed") else {
        return line.refuse("--seed must be a number of 32 bits");
    };
    let plan = Plan {
        example: PathBuf::from(example),
        length: Duration::from_secs(u64::from(seconds.unwrap_or(20))),
        scale: i64::from(scale.unwrap_or(4).max(1)),
        seed,
        folder: env::temp_dir().join(format!("tarragon-trial-{}", std::process::id())),
    };
    let outcome = execute(&plan, &matches);
    if matches.opt_present("keep") {
        println!("files are in {}", plan.folder.display());
    } else {
        let _gone = fs::remove_dir_all(&plan.folder);
    }
    match outcome {
        Ok(wrong) if wrong.is_empty() => {
            println!("every outcome is right");
            ExitCode::SUCCESS
        }
        Ok(wrong) => {
            println!("{} wrong outcomes:\n{}", wrong.len(), wrong.join("\n"));
            ExitCode::FAILURE
        }
        Err(cause) => {
            eprintln!("tarragon-trial: {cause}");
            ExitCode::from(3)
        }
    }
}

#[derive(Debug)]
struct Plan {
    example: PathBuf,
    length: Duration,
    scale: i64,
    seed: Option<u32>,
    folder: PathBuf,
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "seconds", "length of the mix [20]", "N")
        .optopt(
            "",
            "scale",
            "share of the example's stand-ins, as 1/N [4]",
            "N",
        )
        .optopt(
            "",
            "seed",
            "seed of the mix and the stand-ins [that of the example]",
            "N",
        )
        .optopt(
            "",
            "programs",
            "folder of the other programs [that of this one]",
            "FOLDER",
        )
        .optflag("", "keep", "keep settings, data and logs");
    options
}

fn execute(plan: &Plan, matches: &Matches) -> Result<Vec<String>, String> {
    let mut example = Example::load(&plan.example)?;
    if let Some(seed) = plan.seed {
        example.reseed(seed);
    }
    let programs = match matches.opt_str("programs") {
        Some(folder) => PathBuf::from(folder),
        None => own_folder()?,
    };
    let deployment = Deployment::prepare(&example, &plan.folder, plan.scale)
        .map_err(|e| format!("{}: {e}", plan.folder.display()))?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    runtime.block_on(async {
        tokio::select! {
            outcome = trial(plan, &example, deployment, &programs) => outcome,
            () = wait_for_signal() => Err("interrupted".to_owned()),
        }
    })
}

/// Waits for the first signal to stop.
async fn wait_for_signal() {
    let kinds = [SignalKind::interrupt(), SignalKind::terminate()];
    let [Ok(mut interrupt), Ok(mut terminate)] = kinds.map(signal) else {
        return;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

/// Runs the trial. Dropping the future ends every process that the trial started.
async fn trial(
    plan: &Plan,
    example: &Example,
    deployment: Deployment,
    programs: &Path,
) -> Result<Vec<String>, String> {
    let mut session = Session::start(deployment, programs).await?;
    session
        .configure(example)
        .await
        .map_err(|f| f.to_string())?;
    session.start_standins().await?;
    println!("started; sending work for {} s", plan.length.as_secs());

    let before = session.metrics().await;
    let load = Load::new(session.clients(), example.mix.seed);
    let mut reported = load.run(example, plan.length).await;
    settle(&session.clients()[0], &mut reported, SETTLE_TIMEOUT).await;
    let after = session.metrics().await;
    let mut wrong = session.stop().await;
    let (tasks, requests) = session.histories()?;
    wrong.extend(wrong_outcomes(&reported, &tasks, &requests));
    for line in summary::lines(&reported, &tasks, [&before, &after]) {
        println!("{line}");
    }
    Ok(wrong)
}

/// Returns the folder of this program, where the other programs are expected
/// unless `--programs` names another folder.
pub(crate) fn own_folder() -> Result<PathBuf, String> {
    let program = env::current_exe().map_err(|e| e.to_string())?;
    let folder = program.parent().map(Path::to_path_buf);
    folder.ok_or_else(|| "the program has no folder".to_owned())
}
