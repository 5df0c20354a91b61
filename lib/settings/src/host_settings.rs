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
    /// Name of the cell.
    pub cell: Name,
    /// Name of this host.
    pub name: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Region of this host.
    pub region: RegionName,
    /// Address for callers, operators and executors.
    pub http: SocketAddr,
    /// Address for replicas.
    pub peer: SocketAddr,
    /// Address for calls between hosts.
    pub control: SocketAddr,
    /// Address for workers.
    pub worker: SocketAddr,
    /// Data folder; a host without one is no replica.
    pub data_dir: Option<PathBuf>,
    /// Token of the operators.
    pub token: Token,
    /// Where and how much to log.
    pub log: LogSettings,
    /// Hosts that form the first group of replicas.
    pub initial_voters: Vec<HostName>,
    /// All entry hosts, this one included.
    pub hosts: Vec<HostAddress>,
    /// Placement policy.
    pub policy: PolicySettings,
    /// Times of the protocols.
    pub timing: Timing,
    /// Bounds of what the host takes in.
    pub limits: LimitSettings,
}

impl HostSettings {
    /// Reads a settings file and lists all its faults.
    pub fn load<P>(path: P) -> Result<Self, Vec<SettingsError>>
    where
        P: AsRef<Path>,
    {
        Document::load(path.as_ref(), Self::read)
    }

    /// All keys that the file may hold.
    pub fn keys() -> Vec<Key> {
        Document::keys(Self::read)
    }

    /// Tells whether this host belongs to the first group of replicas.
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
        let hosts = section.each("hosts", HostAddress::read);
        let sections = ["log", "policy", "timing", "limits"].map(|key| section.section(key));
        let log = LogSettings::read(&sections[0]);
        let policy = PolicySettings::read(&sections[1]);
        let timing = Timing::read(&sections[2]);
        let limits = LimitSettings::read(&sections[3]);
        sections.iter().for_each(Section::finish);

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
        settings.check_own(section);
        Some(settings)
    }

    /// Checks this host against its entry in the list of hosts.
    fn check_own(&self, section: &Section<'_>) {
        if self.is_initial_voter() && self.data_dir.is_none() {
            let cause = "is missing, although this host is one of initial_voters";
            section.fault("data_dir", cause);
        }
        let used = [self.http, self.peer, self.control, self.worker];
        if used.iter().collect::<BTreeSet<_>>().len() < used.len() {
            section.fault("worker", "two addresses of this host are the same");
        }
        let Some(own) = self.hosts.iter().find(|host| host.name == self.name) else {
            section.fault("hosts", format!("does not list this host, {}", self.name));
            return;
        };
        let differs = [
            ("domain", own.domain != self.domain),
            ("http", own.http != self.http),
            ("peer", own.peer != self.peer),
            ("control", own.control != self.control),
        ];
        for (key, _) in differs.iter().filter(|(_, differs)| *differs) {
            section.fault(key, "differs from this host's entry in hosts");
        }
    }
}

fn read_token(section: &Section<'_>) -> Option<Token> {
    section.required("token_file", parse::text)?;
    match Token::load(&section.path("token_file")?) {
        Ok(token) => Some(token),
        Err(cause) => {
            section.fault("token_file", cause);
            None
        }
    }
}

fn check_hosts(section: &Section<'_>, hosts: &[HostAddress]) {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for host in hosts {
        if !names.insert(&host.name) {
            section.fault("hosts", format!("lists {} twice", host.name));
        }
        for address in [host.http, host.peer, host.control] {
            if !addresses.insert(address) {
                section.fault("hosts", format!("uses the address {address} twice"));
            }
        }
    }
}

fn check_voters(section: &Section<'_>, voters: &[HostName], hosts: &[HostAddress]) {
    let key = "initial_voters";
    if voters.len().is_multiple_of(2) {
        let cause = "must list an odd number of hosts: an even one tolerates no more failures";
        section.fault(key, cause);
    }
    if voters.iter().collect::<BTreeSet<_>>().len() < voters.len() {
        section.fault(key, "lists a host twice");
    }
    let mut in_domain: BTreeMap<&DomainName, usize> = BTreeMap::new();
    for voter in voters {
        match hosts.iter().find(|host| host.name == *voter) {
            Some(host) => *in_domain.entry(&host.domain).or_default() += 1,
            None => section.fault(key, format!("{voter} is not listed in hosts")),
        }
    }
    let domains: BTreeSet<_> = hosts.iter().map(|host| &host.domain).collect();
    let crowded = in_domain
        .into_iter()
        .find(|(_, count)| *count > voters.len() / 2);
    if let Some((domain, _)) = crowded.filter(|_| domains.len() >= 3 && voters.len() >= 3) {
        section.fault(
            key,
            format!("holds a majority in failure domain {domain}, whose loss would stop the cell"),
        );
    }
}
