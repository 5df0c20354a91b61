use std::net::SocketAddr;

use tarragon_names::{DomainName, HostName};

use crate::{parse, section::Section};

/// Addresses of an entry host, as every other host knows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostAddress {
    /// The host.
    pub name: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// For callers, operators and executors.
    pub http: SocketAddr,
    /// For replicas.
    pub peer: SocketAddr,
    /// For calls between hosts.
    pub control: SocketAddr,
}

impl HostAddress {
    pub(crate) fn read(section: &Section<'_>) -> Option<Self> {
        let name = section.required("name", parse::name);
        let domain = section.required("domain", parse::name);
        let http = section.required("http", parse::address);
        let peer = section.required("peer", parse::address);
        let control = section.required("control", parse::address);
        Some(Self {
            name: name?,
            domain: domain?,
            http: http?,
            peer: peer?,
            control: control?,
        })
    }
}
