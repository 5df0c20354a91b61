//! Catalogue changes through the replicated log of real processes: latency, throughput, time until
//! a change is in force, and time to recover after the leader is killed.

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
    delay_proxy::DelayProxy,
    options::Options,
    report::{Report, row},
};
use crate::trial::{Deployment, Example, Session, own_folder};

/// One-way delays between failure domains; with 0, hosts connect without a [`DelayProxy`].
const DELAYS_MS: [u64; 2] = [0, 4];

/// Numbers of concurrent writers.
const WRITER_COUNTS: [u32; 3] = [1, 16, 128];

/// Duration of the writes for each number of writers.
const WRITE_DURATION: Duration = Duration::from_secs(4);

/// Number of times that the leader is killed for each delay.
const LEADER_KILLS: u32 = 4;

/// Samples of each baseline.
const BASELINE_ROUNDS: u32 = 200;

/// Maximum wait for an accepted change after the leader is killed, and for the end of its process.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Measures the baselines and each delay.
pub(crate) fn run(options: &Options) -> Report {
    let setting = json!({
        "hosts": 9, "voters": 5, "network": "loopback", "span_s": WRITE_DURATION.as_secs(),
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
    if let Err(e) = runtime.block_on(measure_baselines(&mut report)) {
        eprintln!("cannot measure the baselines: {e}");
    }
    for delay in DELAYS_MS {
        let folder = env::temp_dir().join(format!("tarragon-bench-{}", std::process::id()));
        if let Err(cause) = runtime.block_on(measure(&folder, delay, &mut report)) {
            eprintln!("delay {delay} ms: {cause}");
        }
        let _removed = fs::remove_dir_all(&folder);
    }
    report
}

/// Measures the lower bounds of a commit's latency: a round trip over each delay and a sync to
/// disk.
async fn measure_baselines(report: &mut Report) -> io::Result<()> {
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
                DelayProxy {
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
            "p50_ms" => quantile_ms(&times, 0.5),
            "p99_ms" => quantile_ms(&times, 0.99),
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
        "p50_ms" => quantile_ms(&times, 0.5),
        "p99_ms" => quantile_ms(&times, 0.99),
    });
    Ok(())
}

async fn measure(folder: &Path, delay: u64, report: &mut Report) -> Result<(), String> {
    let example = Example::load(&PathBuf::from("examples/kovacik"))?;
    let deployment = Deployment::prepare(&example, folder, 50).map_err(|e| e.to_string())?;
    if delay > 0 {
        add_domain_delays(&deployment, Duration::from_millis(delay)).await?;
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

    for writers in WRITER_COUNTS {
        let clients = session.clients();
        let calls = (0..writers).map(|n| {
            let client = clients[n as usize % clients.len()].clone();
            write_repeatedly(client, entry.clone(), format!("w{delay}-{writers}-{n}"))
        });
        let times = join_all(calls).await;
        let mut latency = histogram();
        let mut failed = 0;
        for (writer_latency, writer_failed) in times {
            latency.add(&writer_latency).map_err(|e| e.to_string())?;
            failed += writer_failed;
        }
        let count = latency.len() as f64;
        report.push(row! {
            "delay_ms" => delay,
            "writers" => writers,
            "changes" => latency.len(),
            "changes_s" => (count / WRITE_DURATION.as_secs_f64()).round(),
            "p50_ms" => quantile_ms(&latency, 0.5),
            "p99_ms" => quantile_ms(&latency, 0.99),
            "failed" => failed,
        });
    }
    measure_in_force(&session, &entry, delay, report).await?;
    measure_recoveries(&mut session, &entry, delay, report).await?;
    session.stop().await;
    Ok(())
}

/// Replaces each host's addresses in the settings of hosts of other failure domains by those of
/// delay proxies.
async fn add_domain_delays(deployment: &Deployment, delay: Duration) -> Result<(), String> {
    let mut files = Vec::new();
    for host in &deployment.hosts {
        let text = fs::read_to_string(&host.settings).map_err(|e| e.to_string())?;
        let settings = text.parse::<Table>().map_err(|e| e.to_string())?;
        files.push((host.settings.clone(), settings));
    }
    let mut proxy_addresses = Table::new();
    for (_, settings) in &files {
        let mut host_addresses = Table::new();
        for key in ["peer", "control"] {
            let target = string_value(settings, key)
                .parse::<SocketAddr>()
                .map_err(|e| e.to_string())?;
            let proxy_address = DelayProxy { target, delay }
                .start()
                .await
                .map_err(|e| e.to_string())?;
            host_addresses.insert(key.to_owned(), proxy_address.to_string().into());
        }
        proxy_addresses.insert(string_value(settings, "name"), host_addresses.into());
    }
    for (path, mut settings) in files {
        let domain = string_value(&settings, "domain");
        let hosts = settings.get_mut("hosts").and_then(Value::as_array_mut);
        let others = hosts.into_iter().flatten().filter_map(Value::as_table_mut);
        for host in others.filter(|host| string_value(host, "domain") != domain) {
            if let Some(Value::Table(host_addresses)) =
                proxy_addresses.get(&string_value(host, "name"))
            {
                host.extend(host_addresses.clone());
            }
        }
        let text = toml::to_string(&settings).map_err(|e| e.to_string())?;
        fs::write(path, text).map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// Changes one entry repeatedly for [`WRITE_DURATION`] and returns the latencies and the number of
/// failures.
async fn write_repeatedly(
    client: Client,
    mut entry: CatalogueEntry,
    name: String,
) -> (Histogram<u64>, u32) {
    let mut latency = histogram();
    let mut failed = 0;
    let mut revision = Revision(0);
    let end = Instant::now() + WRITE_DURATION;
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

/// Measures the time from sending a change until the leader reports it in force on all hosts.
async fn measure_in_force(
    session: &Session,
    entry: &CatalogueEntry,
    delay: u64,
    report: &mut Report,
) -> Result<(), String> {
    let client = session.client(0);
    let mut latency = histogram();
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
        latency.saturating_record(start.elapsed().as_micros() as u64);
    }
    report.push(row! {
        "delay_ms" => delay,
        "changes_in_force" => latency.len(),
        "p50_ms" => quantile_ms(&latency, 0.5),
        "max_ms" => quantile_ms(&latency, 1.0),
    });
    Ok(())
}

/// Measures the time from killing the leader to the next accepted change.
async fn measure_recoveries(
    session: &mut Session,
    entry: &CatalogueEntry,
    delay: u64,
    report: &mut Report,
) -> Result<(), String> {
    for n in 0..LEADER_KILLS {
        let views = session
            .client(0)
            .host_views()
            .await
            .map_err(|f| f.to_string())?;
        let leader = views
            .iter()
            .find(|view| view.role == "leader")
            .ok_or("no host reports the leader role")?;
        let name = leader.name.to_string();
        let others = session.hosts().iter().filter(|host| host.name != name);
        let client = Arc::new(
            session.client(0).with_host(
                others
                    .map(|host| host.http)
                    .next()
                    .ok_or("the leader is the only host")?,
            ),
        );
        let mut entry = entry.clone();
        entry.pattern = format!("bench/recovery-{delay}-{n}").into();
        let id = format!("recovery-{delay}-{n}");
        session
            .process(&name)
            .ok_or("the leader's process is not running")?
            .signal(Signal::SIGKILL);
        let start = Instant::now();
        while client.put_entry(&entry, Revision(0), &id).await.is_err() {
            if start.elapsed() > RECOVERY_TIMEOUT {
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
            .ok_or("the killed leader's process is unknown")?
            .wait_for_exit(RECOVERY_TIMEOUT)
            .await;
        session.restart(&name)?;
        sleep(Duration::from_secs(3)).await;
    }
    Ok(())
}

fn histogram() -> Histogram<u64> {
    // One minute in microseconds with three significant digits; the bounds are constants, so
    // this cannot fail.
    Histogram::new_with_max(60_000_000, 3).expect("valid bounds")
}

fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1_000.0
}

fn string_value(table: &Table, key: &str) -> String {
    table
        .get(key)
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned()
}
