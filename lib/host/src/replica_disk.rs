use std::{
    collections::BTreeMap,
    fs,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
    path::Path,
};

use bytes::Bytes;
use tarragon_agreement::{Member, Members, Role, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, LogIndex, MemberId, Term};
use tarragon_settings::HostSettings;
use tarragon_storage::{FileStore, LogStore};

/// Computes the identity of an initial voter, which is the same on every host.
///
/// A host that lost its disk gets a random identity, so it never votes under this one again.
pub fn initial_member_id(cell: &str, host: &HostName) -> MemberId {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    MemberId(hasher.hash_one((cell, host.as_str())) | 1)
}

/// Returns the first member list of a replica group: the initial voters.
pub fn initial_members(cfg: &HostSettings) -> Members {
    let member = |host: &HostName| {
        let member = Member {
            host: host.clone(),
            role: Role::Voter,
        };
        (initial_member_id(&cfg.cell, host), member)
    };
    Members {
        by_id: cfg
            .initial_voters
            .iter()
            .map(member)
            .collect::<BTreeMap<_, _>>(),
    }
}

/// Creates the data folder of an initial voter, once in the life of a cell; fails if the folder
/// already holds the data of a member.
pub fn init_replica(cfg: &HostSettings) -> Outcome<MemberId> {
    let dir = data_dir(cfg)?;
    if !cfg.is_initial_voter() {
        return Err(Failure::new(
            Code::BadSettings,
            format!("{} is not listed in initial_voters", cfg.name),
        ));
    }
    if FileStore::exists(dir) {
        return Err(Failure::new(
            Code::ForeignData,
            format!("{} already holds the data of a member", dir.display()),
        ));
    }
    let id = initial_member_id(&cfg.cell, &cfg.name);
    let mut store = create(dir, id)?;
    store.recover()?;
    let meta = SnapshotMeta {
        index: LogIndex(0),
        term: Term(0),
        members: initial_members(cfg),
    };
    store.save_snapshot(&meta, &Bytes::new())?;
    Ok(id)
}

/// Opens the data folder of this host, or creates it for a new member with the identity `new_id`.
pub(crate) fn open_replica(cfg: &HostSettings, new_id: MemberId) -> Outcome<FileStore> {
    let dir = data_dir(cfg)?;
    if FileStore::exists(dir) {
        FileStore::open(dir)
    } else {
        create(dir, new_id)
    }
}

fn create(dir: &Path, id: MemberId) -> Outcome<FileStore> {
    fs::create_dir_all(dir)
        .map_err(|e| Failure::new(Code::DiskFull, format!("{}: {e}", dir.display())))?;
    FileStore::create(dir, id)
}

fn data_dir(cfg: &HostSettings) -> Outcome<&Path> {
    cfg.data_dir
        .as_deref()
        .ok_or_else(|| Failure::new(Code::BadSettings, "data_dir is not set for this host"))
}
