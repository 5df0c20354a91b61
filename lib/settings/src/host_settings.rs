use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::{Path, PathBuf},
};

use tarragon_names::{DomainName, HostName, Name, RegionName};

use crate::{
    HostAddress, Key, LimitSettings, LogSettings, PolicySettings, SettingsError, Timing, Token,
    document::Document, parse, section::Section,
};

/// Settings of the daemon of an entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostSettings {
    /// Name of the cell that this host belongs to.
    pub cell: Name,
    /// Name of this host; must be in `hosts`.
    pub name: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Region of this host.
    pub region: RegionName,
    /// Address for callers, operators and executors.
    pub http: SocketAddr,
    /// Address for messages between replicas.
    pub peer: SocketAddr,
    /// Address for calls between hosts.
    pub control: SocketAddr,
    /// Address for workers.
    pub worker: SocketAddr,
    /// Folder of the replica's data; `None` if this host is not a replica.
    pub data_dir: Option<PathBuf>,
    /// Token that authenticates operators.
    pub token: Token,
    /// Destination and minimum severity of the events.
    pub log: LogSettings,
    /// Hosts whose replicas are the voters when the cell is first started.
    pub initial_voters: Vec<HostName>,
    /// All entry hosts of the cell, including this one.
    pub hosts: Vec<HostAddress>,
    /// Weights of the placement policy.
    pub policy: PolicySettings,
    /// Intervals, leases and timeouts of the protocols.
    pub timing: Timing,
    /// Limits on the load that the host accepts.
    pub limits: LimitSettings,
}

impl HostSettings {
    /// Loads a settings file, or returns all its errors.
    pub fn load<P>(path: P) -> Result<Self, Vec<SettingsError>>
    where
        P: AsRef<Path>,
    {
        Document::load(path.as_ref(), Self::read)
    }

    /// Returns all keys that the file may contain.
    pub fn keys() -> Vec<Key> {
        Document::keys(Self::read)
    }

    /// Returns whether this host is one of `initial_voters`.
    pub fn is_initial_voter(&self) -> bool {
        self.initial_voters.contains(&self.name)
    }

    fn read(section: &Section<'_>) -> Option<Self> {
        let cell = section.required("cell", parse::name);
        let name = section.required("name", parse::name);
        let domain = section.required("domain", parse::name);
        let region = section.required("region", parse::name);
        let http = section.required("http", parse::address);
        let peer = section.required("peer", parse::address);
        let control = section.required("control", parse::address);
        let worker = section.required("worker", parse::address);
        let data_dir = section.path("data_dir");
        let token = read_token(section);
        let voters: Option<Vec<HostName>> = section.required("initial_voters", parse::names);
        let hosts = section.read_tables("hosts", HostAddress::read);
        let sections = ["log", "policy", "timing", "limits"].map(|key| section.section(key));
        let log = LogSettings::read(&sections[0]);
        let policy = PolicySettings::read(&sections[1]);
        let timing = Timing::read(&sections[2]);
        let limits = LimitSettings::read(&sections[3]);
        sections.iter().for_each(Section::reject_unknown_keys);

        check_hosts(section, &hosts);
        check_voters(section, voters.as_deref().unwrap_or_default(), &hosts);
        let settings = Self {
            cell: cell?,
            name: name?,
            domain: domain?,
            region: region?,
            http: http?,
            peer: peer?,
            control: control?,
            worker: worker?,
            data_dir,
            token: token?,
            log,
            initial_voters: voters?,
            hosts,
            policy,
            timing,
            limits,
        };
        settings.check_local_host(section);
        Some(settings)
    }

    /// Checks the settings of this host for consistency and against its entry in `hosts`.
    fn check_local_host(&self, section: &Section<'_>) {
        if self.is_initial_voter() && self.data_dir.is_none() {
            let cause = "is missing, although this host is one of initial_voters";
            section.add_error("data_dir", cause);
        }
        let addresses = [self.http, self.peer, self.control, self.worker];
        if addresses.iter().collect::<BTreeSet<_>>().len() < addresses.len() {
            section.add_error("worker", "two addresses of this host are the same");
        }
        let Some(entry) = self.hosts.iter().find(|host| host.name == self.name) else {
            section.add_error("hosts", format!("does not list this host, {}", self.name));
            return;
        };
        let comparisons = [
            ("domain", entry.domain != self.domain),
            ("http", entry.http != self.http),
            ("peer", entry.peer != self.peer),
            ("control", entry.control != self.control),
        ];
        for (key, _) in comparisons.iter().filter(|(_, differs)| *differs) {
            section.add_error(key, "differs from this host's entry in hosts");
        }
    }
}

fn read_token(section: &Section<'_>) -> Option<Token> {
    section.required("token_file", parse::text)?;
    match Token::load(&section.path("token_file")?) {
        Ok(token) => Some(token),
        Err(cause) => {
            section.add_error("token_file", cause);
            None
        }
    }
}

fn check_hosts(section: &Section<'_>, hosts: &[HostAddress]) {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for host in hosts {
        if !names.insert(&host.name) {
            section.add_error("hosts", format!("lists {} twice", host.name));
        }
        for address in [host.http, host.peer, host.control] {
            if !addresses.insert(address) {
                section.add_error("hosts", format!("uses the address {address} twice"));
            }
        }
    }
}

fn check_voters(section: &Section<'_>, voters: &[HostName], hosts: &[HostAddress]) {
    let key = "initial_voters";
    if voters.len().is_multiple_of(2) {
        let cause = "must list an odd number of hosts: an even number tolerates no more failures than one host fewer";
        section.add_error(key, cause);
    }
    if voters.iter().collect::<BTreeSet<_>>().len() < voters.len() {
        section.add_error(key, "lists a host twice");
    }
    let mut voters_by_domain: BTreeMap<&DomainName, usize> = BTreeMap::new();
    for voter in voters {
        match hosts.iter().find(|host| host.name == *voter) {
            Some(host) => *voters_by_domain.entry(&host.domain).or_default() += 1,
            None => section.add_error(key, format!("{voter} is not listed in hosts")),
        }
    }
    let domains: BTreeSet<_> = hosts.iter().map(|host| &host.domain).collect();
    let majority_domain = voters_by_domain
        .into_iter()
        .find(|(_, count)| *count > voters.len() / 2);
    if let Some((domain, _)) = majority_domain.filter(|_| domains.len() >= 3 && voters.len() >= 3) {
        section.add_error(
            key,
            format!("holds a majority in failure domain {domain}, whose loss would stop the cell"),
        );
    }
}
