//! Guards against deployment addresses that another program holds when the processes start.

use std::{
    collections::BTreeSet,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
};

use tarragon_cli::trial::{Deployment, Example, LoopbackNet};

/// Guards against a port that was found free but is then held by an outgoing connection or another
/// run.
#[test]
fn deployments_share_no_address_with_each_other_or_with_connections() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/kovacik");
    let example = Example::load(&examples).unwrap();
    let folders = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
    let deployments = folders
        .each_ref()
        .map(|folder| Deployment::prepare(&example, folder.path(), 50).unwrap());
    let mut seen = BTreeSet::new();
    for deployment in &deployments {
        for host in &deployment.hosts {
            let SocketAddr::V4(http) = host.http else {
                panic!("{} is not an IPv4 address", host.http);
            };
            assert_ne!(IpAddr::from(*http.ip()), IpAddr::from(Ipv4Addr::LOCALHOST));
            assert!(seen.insert(http), "{http} is used twice");
        }
    }
    for folder in &folders {
        let written = fs::read_dir(folder.path().join("settings")).unwrap();
        assert!(written.count() > 0);
    }
}

/// Guards against two deployments that claim the same network at the same time.
#[test]
fn held_claims_get_different_networks() {
    let first = LoopbackNet::claim().unwrap();
    let second = LoopbackNet::claim().unwrap();
    assert_ne!(first.host(1), second.host(1));
}
