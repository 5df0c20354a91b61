//! Catalogue changes through the replicated log of real processes: latency, rate, time until they
//! are in force, and the time without a leader after it is killed.

use std::{
    env, fs,
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use futures::future::join_all;
use hdrhistogram::Histogram;
use nix::sys::signal::Signal;
use serde_json::json;
use tarragon_catalogue::CatalogueEntry;
use tarragon_client::Client;
use tarragon_names::Revision;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    time::{Instant, sleep},
};
use toml::{Table, Value};

use super::{
    delay_line::DelayLine,
    options::Options,
    report::{Report, row},
};
use crate::trial::{Deployment, Example, Session, own_folder};

/// Delays one way between failure domains, in milliseconds; 0 leaves the delaying fake out.
const DELAYS_MS: [u64; 2] = [0, 4];

/// Callers that write at the same time.
const WRITERS: [u32; 3] = [1, 16, 128];

/// Time for each number of writers.
const SPAN: Duration = Duration::from_secs(4);

/// Times that the leader is killed for each delay.
const KILLS: u32 = 4;

/// Repetitions of each baseline.
const BASELINE_ROUNDS: u32 = 200;

/// Longest wait for a change after a kill.
const RECOVERY_LIMIT: Duration = Duration::from_secs(20);

/// Runs the cases.
pub(crate) fn run(options: &Options) -> Report {
    let setting = json!({
        "hosts": 9, "voters": 5, "network": "loopback", "span_s": SPAN.as_secs(),
        "sync": "see tarragon-storage example commit_cost",
    });
    let mut report = Report::new(options, &setting);
    let Ok(runtime) = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    else {
        return report;
    };
    if let Err(e) = runtime.block_on(baselines(&mut report)) {
        eprintln!("baselines: {e}");
    }
    for delay in DELAYS_MS {
        let folder = env::temp_dir().join(format!("tarragon-bench-{}", std::process::id()));
        if let Err(cause) = runtime.block_on(measure(&folder, delay, &mut report)) {
            eprintln!("delay {delay} ms: {cause}");
        }
        let _gone = fs::remove_dir_all(&folder);
    }
    report
}

/// What the figures below rest on: a round trip over each delay and a sync of the disk.
async fn baselines(report: &mut Report) -> io::Result<()> {
    for delay in DELAYS_MS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (mut rx, mut tx) = stream.split();
                let _ended = tokio::io::copy(&mut rx, &mut tx).await;
            }
        });
        let address = match delay {
            0 => target,
            _ => {
                DelayLine {
                    target,
                    delay: Duration::from_millis(delay),
                }
                .start()
                .await?
            }
        };
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut times = histogram();
        let mut buf = [7; 200];
        for _ in 0..BASELINE_ROUNDS {
            let start = Instant::now();
            stream.write_all(&buf).await?;
            stream.read_exact(&mut buf).await?;
            times.saturating_record(start.elapsed().as_micros() as u64);
        }
        report.push(row! {
            "baseline" => format!("round trip, {delay} ms one way"),
            "p50_ms" => milliseconds(&times, 0.5),
            "p99_ms" => milliseconds(&times, 0.99),
        });
    }
    let path = env::temp_dir().join(format!("tarragon-bench-sync-{}", std::process::id()));
    let mut file = fs::File::create(&path)?;
    let mut times = histogram();
    for _ in 0..BASELINE_ROUNDS {
        let start = Instant::now();
        file.write_all(&[7; 200])?;
        file.sync_data()?;
        times.saturating_record(start.elapsed().as_micros() as u64);
    }
    fs::remove_file(&path)?;
    report.push(row! {
        "baseline" => "write and sync of 200 bytes",
        "p50_ms" => milliseconds(&times, 0.5),
        "p99_ms" => milliseconds(&times, 0.99),
    });
    Ok(())
}

async fn measure(folder: &Path, delay: u64, report: &mut Report) -> Result<(), String> {
    let example = Example::load(&PathBuf::from("examples/kovacik"))?;
    let deployment = Deployment::prepare(&example, folder, 50).map_err(|e| e.to_string())?;
    if delay > 0 {
        separate(&deployment, Duration::from_millis(delay)).await?;
    }
    let mut session = Session::start(deployment, &own_folder()?).await?;
    session
        .configure(&example)
        .await
        .map_err(|f| f.to_string())?;
    let entry = example
        .entries
        .first()
        .cloned()
        .ok_or("the example has no entry")?;

    for writers in WRITERS {
        let clients = session.clients();
        let calls = (0..writers).map(|n| {
            let client = clients[n as usize % clients.len()].clone();
            write_for_a_while(client, entry.clone(), format!("w{delay}-{writers}-{n}"))
        });
        let times = join_all(calls).await;
        let mut latency = histogram();
        let mut failed = 0;
        for (own, own_failed) in times {
            latency.add(&own).map_err(|e| e.to_string())?;
            failed += own_failed;
        }
        let count = latency.len() as f64;
        report.push(row! {
            "delay_ms" => delay,
            "writers" => writers,
            "changes" => latency.len(),
            "changes_s" => (count / SPAN.as_secs_f64()).round(),
            "p50_ms" => milliseconds(&latency, 0.5),
            "p99_ms" => milliseconds(&latency, 0.99),
            "failed" => failed,
        });
    }
    in_force(&session, &entry, delay, report).await?;
    recoveries(&mut session, &entry, delay, report).await?;
    session.stop().await;
    Ok(())
}

/// Puts a delay line before each host as hosts of other failure domains see it.
async fn separate(deployment: &Deployment, delay: Duration) -> Result<(), String> {
    let mut files = Vec::new();
    for host in &deployment.hosts {
        let text = fs::read_to_string(&host.settings).map_err(|e| e.to_string())?;
        let settings = text.parse::<Table>().map_err(|e| e.to_string())?;
        files.push((host.settings.clone(), settings));
    }
    let mut lines = Table::new();
    for (_, settings) in &files {
        let mut own = Table::new();
        for key in ["peer", "control"] {
            let target = text(settings, key)
                .parse::<SocketAddr>()
                .map_err(|e| e.to_string())?;
            let line = DelayLine { target, delay }
                .start()
                .await
                .map_err(|e| e.to_string())?;
            own.insert(key.to_owned(), line.to_string().into());
        }
        lines.insert(text(settings, "name"), own.into());
    }
    for (path, mut settings) in files {
        let domain = text(&settings, "domain");
        let hosts = settings.get_mut("hosts").and_then(Value::as_array_mut);
        let others = hosts.into_iter().flatten().filter_map(Value::as_table_mut);
        for host in others.filter(|host| text(host, "domain") != domain) {
            if let Some(Value::Table(own)) = lines.get(&text(host, "name")) {
                host.extend(own.clone());
            }
        }
        let text = toml::to_string(&settings).map_err(|e| e.to_string())?;
        fs::write(path, text).map_err(|e| e.to_string())?;
    }
    Ok(())
}

async fn write_for_a_while(
    client: Client,
    mut entry: CatalogueEntry,
    name: String,
) -> (Histogram<u64>, u32) {
    let mut latency = histogram();
    let mut failed = 0;
    let mut revision = Revision(0);
    let end = Instant::now() + SPAN;
    entry.pattern = format!("bench/{name}").into();
    for n in 0.. {
        let start = Instant::now();
        if start >= end {
            break;
        }
        match client
            .put_entry(&entry, revision, &format!("{name}-{n}"))
            .await
        {
            Ok(next) => {
                revision = next;
                latency.saturating_record(start.elapsed().as_micros() as u64);
            }
            Err(_) => failed += 1,
        }
    }
    (latency, failed)
}

/// Time from the answer to a change until the leader reports it in force everywhere.
async fn in_force(
    session: &Session,
    entry: &CatalogueEntry,
    delay: u64,
    report: &mut Report,
) -> Result<(), String> {
    let client = session.client(0);
    let mut took = histogram();
    for n in 0..20 {
        let mut entry = entry.clone();
        entry.pattern = format!("bench/in-force-{delay}-{n}").into();
        let id = format!("in-force-{delay}-{n}");
        let start = Instant::now();
        let revision = client
            .put_entry(&entry, Revision(0), &id)
            .await
            .map_err(|f| f.to_string())?;
        while !client
            .is_in_force(revision)
            .await
            .map_err(|f| f.to_string())?
        {
            sleep(Duration::from_millis(10)).await;
        }
        took.saturating_record(start.elapsed().as_micros() as u64);
    }
    report.push(row! {
        "delay_ms" => delay,
        "changes_in_force" => took.len(),
        "p50_ms" => milliseconds(&took, 0.5),
        "max_ms" => milliseconds(&took, 1.0),
    });
    Ok(())
}

/// Time from the death of the leader to the next accepted change.
async fn recoveries(
    session: &mut Session,
    entry: &CatalogueEntry,
    delay: u64,
    report: &mut Report,
) -> Result<(), String> {
    for n in 0..KILLS {
        let views = session
            .client(0)
            .host_views()
            .await
            .map_err(|f| f.to_string())?;
        let leader = views
            .iter()
            .find(|view| view.role == "leader")
            .ok_or("no leader")?;
        let name = leader.name.to_string();
        let others = session.hosts().iter().filter(|host| host.name != name);
        let client = Arc::new(
            session
                .client(0)
                .with_host(others.map(|host| host.http).next().ok_or("one host")?),
        );
        let mut entry = entry.clone();
        entry.pattern = format!("bench/recovery-{delay}-{n}").into();
        let id = format!("recovery-{delay}-{n}");
        session
            .process(&name)
            .ok_or("the leader does not run")?
            .signal(Signal::SIGKILL);
        let start = Instant::now();
        while client.put_entry(&entry, Revision(0), &id).await.is_err() {
            if start.elapsed() > RECOVERY_LIMIT {
                return Err("no change was accepted after the leader was killed".to_owned());
            }
        }
        report.push(row! {
            "delay_ms" => delay,
            "kill" => n,
            "next_change_ms" => start.elapsed().as_millis() as u64,
        });
        session
            .process(&name)
            .ok_or("no process")?
            .wait_for_exit(RECOVERY_LIMIT)
            .await;
        session.restart(&name)?;
        sleep(Duration::from_secs(3)).await;
    }
    Ok(())
}

fn histogram() -> Histogram<u64> {
    // A minute in microseconds with three digits; the bounds are constants, so this cannot fail.
    Histogram::new_with_max(60_000_000, 3).expect("valid bounds")
}

fn milliseconds(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1_000.0
}

fn text(table: &Table, key: &str) -> String {
    table
        .get(key)
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned()
}
