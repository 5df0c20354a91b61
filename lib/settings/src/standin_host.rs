use std::net::SocketAddr;

use tarragon_names::{DomainName, HostName};

use crate::{parse, section::Section};

/// Addresses at which stand-ins reach an entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StandinHost {
    /// Name of the host, as in the host's own settings.
    pub name: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address for the announcements of executors.
    pub http: SocketAddr,
    /// Address that workers connect to.
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
