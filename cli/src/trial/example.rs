use std::{
    fs,
    path::{Path, PathBuf},
};

use serde::{Deserialize, de::DeserializeOwned};
use tarragon_catalogue::CatalogueEntry;
use toml::Table;

use super::{mix::Mix, team_quota::TeamQuota};

/// Files of an example deployment.
#[derive(Clone, Debug)]
pub struct Example {
    /// Settings of each host.
    pub hosts: Vec<Table>,
    /// Settings of the stand-ins.
    pub standin: Table,
    /// Catalogue.
    pub entries: Vec<CatalogueEntry>,
    /// Quotas.
    pub quotas: Vec<TeamQuota>,
    /// Jobs and service requests that callers send.
    pub mix: Mix,
}

#[derive(Deserialize)]
struct Entries {
    entries: Vec<CatalogueEntry>,
}

#[derive(Deserialize)]
struct Quotas {
    quotas: Vec<TeamQuota>,
}

impl Example {
    /// Reads the folder of an example.
    pub fn load(folder: &Path) -> Result<Self, String> {
        let mut paths: Vec<PathBuf> = fs::read_dir(folder.join("hosts"))
            .map_err(|e| format!("{}: {e}", folder.join("hosts").display()))?
            .filter_map(|file| Some(file.ok()?.path()))
            .collect();
        paths.sort();
        let hosts = paths.iter().map(|path| read(path));
        Ok(Self {
            hosts: hosts.collect::<Result<_, _>>()?,
            standin: read(&folder.join("standin.toml"))?,
            entries: read::<Entries>(&folder.join("catalogue.toml"))?.entries,
            quotas: read::<Quotas>(&folder.join("quotas.toml"))?.quotas,
            mix: read(&folder.join("mix.toml"))?,
        })
    }

    /// Replaces the seeds of the mix and of the stand-ins.
    pub fn reseed(&mut self, seed: u32) {
        self.mix.seed = u64::from(seed);
        self.standin
            .insert("seed".to_owned(), i64::from(seed).into());
    }

    /// Returns whether requests to the catalogue entry of this name may be sent more than once.
    pub fn is_repeatable(&self, name: &str) -> bool {
        let exact = |entry: &&CatalogueEntry| entry.pattern.to_string() == name;
        self.entries
            .iter()
            .find(exact)
            .is_some_and(|entry| entry.repeatable)
    }
}

fn read<T>(path: &Path) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let text = fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
}
