use std::net::SocketAddr;

use tarragon_names::{DomainName, HostName};

use crate::{parse, section::Section};

/// Addresses of an entry host in the list `hosts`, which must be the same on all hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostAddress {
    /// Name of the host, unique in the list.
    pub name: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address for callers, operators and executors.
    pub http: SocketAddr,
    /// Address for messages between replicas.
    pub peer: SocketAddr,
    /// Address for calls between hosts.
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
