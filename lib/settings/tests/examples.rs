//! Guards against example files that the daemon or the stand-ins reject.

use std::{
    fs,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
};

use tarragon_settings::{HostSettings, StandinSettings};
use yare::parameterized;

fn example_folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[parameterized(
    kovacik = { "kovacik", 3, 3 },
    lukang = { "lukang", 4, 2 },
)]
fn example_is_valid_and_consistent(name: &str, domains: usize, min_hosts_per_domain: usize) {
    let folder = tempfile::tempdir().unwrap();
    let hosts = folder.path().join("hosts");
    fs::create_dir(&hosts).unwrap();
    let token = folder.path().join("token");
    fs::write(&token, "token-of-the-test").unwrap();
    fs::set_permissions(&token, fs::Permissions::from_mode(0o600)).unwrap();

    let mut settings = Vec::new();
    for file in fs::read_dir(example_folder(name).join("hosts")).unwrap() {
        let file = file.unwrap();
        let copy = hosts.join(file.file_name());
        fs::copy(file.path(), &copy).unwrap();
        settings.push(HostSettings::load(copy).unwrap());
    }
    assert_eq!(settings.len(), 9);
    // A host with a different list of hosts would form a separate cell.
    assert!(settings.iter().all(|s| s.hosts == settings[0].hosts));
    assert!(
        settings
            .iter()
            .all(|s| s.initial_voters == settings[0].initial_voters)
    );
    assert_eq!(settings[0].initial_voters.len(), 5);
    assert_eq!(settings.iter().filter(|s| s.data_dir.is_some()).count(), 6);
    let domain_names: std::collections::BTreeSet<_> = settings.iter().map(|s| &s.domain).collect();
    assert_eq!(domain_names.len(), domains);
    let hosts_in = |domain| settings.iter().filter(|s| &s.domain == domain).count();
    assert!(
        domain_names
            .iter()
            .all(|domain| hosts_in(*domain) >= min_hosts_per_domain)
    );

    let standin = StandinSettings::load(example_folder(name).join("standin.toml")).unwrap();
    assert_eq!(standin.workers.iter().map(|g| g.count).sum::<u32>(), 50);
    assert_eq!(standin.executors.iter().map(|g| g.count).sum::<u32>(), 50);
    let is_listed = |host: &tarragon_settings::StandinHost| {
        settings
            .iter()
            .any(|s| s.name == host.name && s.worker == host.worker && s.http == host.http)
    };
    assert!(standin.hosts.iter().all(is_listed));
}
