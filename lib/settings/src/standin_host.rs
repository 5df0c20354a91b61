use std::net::SocketAddr;

use tarragon_names::{DomainName, HostName};

use crate::{parse, section::Section};

/// An entry host, as stand-ins reach it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StandinHost {
    /// The host.
    pub name: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// For announcements of executors.
    pub http: SocketAddr,
    /// For workers.
    pub worker: SocketAddr,
}

impl StandinHost {
    pub(crate) fn read(section: &Section<'_>) -> Option<Self> {
        let name = section.required("name", parse::name);
        let domain = section.required("domain", parse::name);
        let http = section.required("http", parse::address);
        let worker = section.required("worker", parse::address);
        Some(Self {
            name: name?,
            domain: domain?,
            http: http?,
            worker: worker?,
        })
    }
}
