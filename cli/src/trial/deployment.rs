use std::{
    fs, io,
    net::SocketAddr,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
};

use toml::{Table, Value};

use super::{example::Example, loopback_net::LoopbackNet, trial_host::TrialHost};

/// Time after which stand-ins exit by themselves, in case the trial is killed and cannot stop them.
const STANDIN_LIFETIME_MS: i64 = 120_000;

/// Ports of a host, the same on all hosts.
const PORTS: [(&str, u16); 4] = [
    ("http", 7_101),
    ("peer", 7_201),
    ("control", 7_301),
    ("worker", 7_401),
];

const TOKEN: &str = "token-of-the-trial";

/// Settings of a deployment, written into a folder; the deployment has its own loopback addresses.
#[derive(Debug)]
pub struct Deployment {
    folder: PathBuf,
    /// Reserves the addresses against other deployments until this value is dropped.
    net: LoopbackNet,
    /// Entry hosts.
    pub hosts: Vec<TrialHost>,
    /// Number of workers that the stand-ins simulate.
    pub workers: usize,
    /// Number of executors that the stand-ins simulate.
    pub executors: usize,
}

impl Deployment {
    /// Writes the settings of an example with counts of stand-ins divided by `scale`.
    pub fn prepare(example: &Example, folder: &Path, scale: i64) -> io::Result<Self> {
        for part in ["data", "logs", "settings"] {
            fs::create_dir_all(folder.join(part))?;
        }
        let token = folder.join("token");
        fs::write(&token, TOKEN)?;
        fs::set_permissions(&token, fs::Permissions::from_mode(0o600))?;

        let mut deployment = Self {
            folder: folder.to_owned(),
            net: LoopbackNet::claim()?,
            hosts: Vec::new(),
            workers: 0,
            executors: 0,
        };
        // Addresses by host name, then by settings key.
        let mut addresses = Table::new();
        for (number, host) in (1..).zip(&example.hosts) {
            let mut own = Table::new();
            for (key, port) in PORTS {
                let address = SocketAddr::from((deployment.net.host(number), port));
                own.insert(key.to_owned(), address.to_string().into());
            }
            addresses.insert(text(host, "name"), own.into());
        }
        for host in &example.hosts {
            deployment.write_host(host, &addresses)?;
        }
        deployment.write_standins(&example.standin, &addresses, scale)?;
        Ok(deployment)
    }

    /// Token that authorises operators' requests.
    pub fn token() -> &'static str {
        TOKEN
    }

    /// File that receives the output of a process.
    pub fn output(&self, name: &str) -> PathBuf {
        self.folder.join("logs").join(format!("{name}.out"))
    }

    /// Data folder of a host.
    pub fn data(&self, name: &str) -> PathBuf {
        self.folder.join("data").join(name)
    }

    /// Settings of a stand-in process.
    pub fn standin(&self, name: &str) -> PathBuf {
        self.folder.join("settings").join(format!("{name}.toml"))
    }

    /// Log of starts and ends of tasks.
    pub fn task_log(&self) -> PathBuf {
        self.folder.join("tasks.jsonl")
    }

    /// Log of the requests that executors ran.
    pub fn request_log(&self) -> PathBuf {
        self.folder.join("requests.jsonl")
    }

    fn write_host(&mut self, host: &Table, addresses: &Table) -> io::Result<()> {
        let name = text(host, "name");
        let mut settings = host.clone();
        replace_addresses(
            &mut settings,
            addresses,
            &["http", "peer", "control", "worker"],
        );
        if let Some(Value::Array(hosts)) = settings.get_mut("hosts") {
            for host in hosts.iter_mut().filter_map(Value::as_table_mut) {
                replace_addresses(host, addresses, &["http", "peer", "control"]);
            }
        }
        if settings.contains_key("data_dir") {
            let data = self.data(&name);
            settings.insert("data_dir".to_owned(), path_value(&data));
        }
        let token = path_value(&self.folder.join("token"));
        settings.insert("token_file".to_owned(), token);
        settings.insert("log".to_owned(), self.log(&name).into());
        let is_initial_voter = host
            .get("initial_voters")
            .and_then(Value::as_array)
            .is_some_and(|voters| voters.iter().any(|v| v.as_str() == Some(&name)));
        let http = text(&settings, "http").parse().map_err(io::Error::other)?;
        let path = self.folder.join("settings").join(format!("{name}.toml"));
        write(&path, &settings)?;
        self.hosts.push(TrialHost {
            name,
            http,
            settings: path,
            is_initial_voter,
        });
        Ok(())
    }

    /// Writes the settings of two stand-in processes: one with all workers, one with all executors.
    fn write_standins(&mut self, standin: &Table, addresses: &Table, scale: i64) -> io::Result<()> {
        for (name, other) in [("workers", "executors"), ("executors", "workers")] {
            let mut settings = standin.clone();
            settings.remove(other);
            settings.insert("stop_after_ms".to_owned(), STANDIN_LIFETIME_MS.into());
            settings.insert("task_log".to_owned(), path_value(&self.task_log()));
            settings.insert("request_log".to_owned(), path_value(&self.request_log()));
            if name == "workers" {
                settings.remove("request_log");
            }
            settings.insert("log".to_owned(), self.log(name).into());
            if let Some(Value::Array(hosts)) = settings.get_mut("hosts") {
                for host in hosts.iter_mut().filter_map(Value::as_table_mut) {
                    replace_addresses(host, addresses, &["http", "worker"]);
                }
            }
            let mut total = 0;
            if let Some(Value::Array(groups)) = settings.get_mut(name) {
                for group in groups.iter_mut().filter_map(Value::as_table_mut) {
                    let count = group.get("count").and_then(Value::as_integer).unwrap_or(1);
                    let count = (count / scale).max(1);
                    group.insert("count".to_owned(), count.into());
                    remove_faults_beyond(group, count);
                    total += count as usize;
                }
            }
            match name {
                "workers" => self.workers = total,
                _ => self.executors = total,
            }
            write(&self.standin(name), &settings)?;
        }
        Ok(())
    }

    fn log(&self, name: &str) -> Table {
        let file = self.folder.join("logs").join(format!("{name}.jsonl"));
        Table::from_iter([
            ("level".to_owned(), "debug".into()),
            ("file".to_owned(), path_value(&file)),
        ])
    }
}

/// Removes the workers beyond `count` from the faults of a group.
fn remove_faults_beyond(group: &mut Table, count: i64) {
    let Some(Value::Array(faults)) = group.get_mut("faults") else {
        return;
    };
    for fault in faults.iter_mut().filter_map(Value::as_table_mut) {
        if let Some(Value::Array(workers)) = fault.get_mut("workers") {
            workers.retain(|worker| worker.as_integer().is_some_and(|worker| worker < count));
        }
    }
}

fn replace_addresses(table: &mut Table, addresses: &Table, keys: &[&str]) {
    let Some(Value::Table(own)) = addresses.get(&text(table, "name")) else {
        return;
    };
    for key in keys {
        if let Some(address) = own.get(*key) {
            table.insert((*key).to_owned(), address.clone());
        }
    }
}

fn text(table: &Table, key: &str) -> String {
    let value = table.get(key).and_then(Value::as_str);
    value.unwrap_or_default().to_owned()
}

fn path_value(path: &Path) -> Value {
    path.display().to_string().into()
}

fn write(path: &Path, settings: &Table) -> io::Result<()> {
    let text = toml::to_string(settings).map_err(io::Error::other)?;
    fs::write(path, text)
}
