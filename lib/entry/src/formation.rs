//! Opens the store of a replica and determines the identity of the replica: that of a bootstrap
//! member, the one on its disk, or a new one for a learner.

use std::{
    collections::BTreeMap,
    fs,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
    net::SocketAddr,
    path::Path,
};

use bytes::Bytes;
use tarragon_agreement::{Member, Members, Recovered, Role, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, LogIndex, MemberId, Term};
use tarragon_storage::{Disk, DiskUsage, FileStore, LogStore};
use tarragon_telemetry::{Event, EventSink};

use crate::EntryConfig;

/// Folder of the replica inside the data folder.
const REPLICA_FOLDER: &str = "replica";

/// Folder to which unreadable data is moved. It holds only the latest such data, and none if that is
/// large, since the disk is small.
const SET_ASIDE_FOLDER: &str = "aside";

/// Returns the identity of a bootstrap member; every host computes the same one for the same name.
///
/// A host that lost its disk gets a random identity instead, so it never votes under this one
/// again.
pub fn member_id_of(host: &HostName) -> MemberId {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    MemberId(hasher.hash_one(("founder", host.as_str())) | 1)
}

/// Returns the first member list of the group: the seeds, which all hosts know at the first start.
pub fn bootstrap_members(seeds: &[SocketAddr]) -> Members {
    let member = |seed: &SocketAddr| {
        let host = HostName::from(seed.to_string());
        let role = Role::Voter;
        (member_id_of(&host), Member { host, role })
    };
    Members {
        by_id: seeds.iter().map(member).collect::<BTreeMap<_, _>>(),
    }
}

/// Opens the store of this host, or creates one, and recovers the state of the replica from it.
///
/// Unreadable data is set aside and the host joins as a new learner with the identity `new_id`: it
/// does not know its earlier votes, so it must not vote under its old identity.
pub fn open_store(
    cfg: &EntryConfig,
    data_dir: &Path,
    new_id: MemberId,
    disk: &dyn Disk,
    events: &dyn EventSink,
) -> Outcome<(FileStore, Recovered)> {
    let dir = data_dir.join(REPLICA_FOLDER);
    let max_aside_bytes = cfg.state_limits.max_aside_bytes();
    drop_large_aside(data_dir, max_aside_bytes, events)?;
    if FileStore::exists(&dir) {
        match open_existing(disk, &dir) {
            Ok(opened) => return Ok(opened),
            Err(failure) if is_damaged_data(&failure) => {
                let event = Event::error("data_set_aside").code(failure.code.number());
                events.emit(&event.detail(failure.cause));
                set_aside(data_dir, &dir)?;
                drop_large_aside(data_dir, max_aside_bytes, events)?;
            }
            Err(failure) => return Err(failure),
        }
    }
    let is_bootstrap_member = cfg.is_first_start && cfg.seeds.contains(&cfg.peer_address);
    let id = if is_bootstrap_member {
        member_id_of(&cfg.host)
    } else {
        new_id
    };
    create_dir(&dir)?;
    let mut store = FileStore::create_with(disk.create(&dir)?, id)?;
    store.recover()?;
    if is_bootstrap_member {
        let meta = SnapshotMeta {
            index: LogIndex(0),
            term: Term(0),
            members: bootstrap_members(&cfg.seeds),
        };
        store.save_snapshot(&meta, &Bytes::new())?;
    }
    let event = Event::info("replica_created");
    events.emit(&event.detail(format!("member {id}, founder: {is_bootstrap_member}")));
    let recovered = store.recover()?;
    Ok((store, recovered))
}

fn open_existing(disk: &dyn Disk, dir: &Path) -> Outcome<(FileStore, Recovered)> {
    let mut store = FileStore::open_with(disk.open(dir)?)?;
    let recovered = store.recover()?;
    Ok((store, recovered))
}

fn is_damaged_data(failure: &Failure) -> bool {
    matches!(failure.code, Code::CorruptRecord | Code::ForeignData)
}

fn set_aside(data_dir: &Path, dir: &Path) -> Outcome<()> {
    let aside = data_dir.join(SET_ASIDE_FOLDER);
    if aside.exists() {
        fs::remove_dir_all(&aside).map_err(|e| disk_failure(&aside, &e))?;
    }
    fs::rename(dir, &aside).map_err(|e| disk_failure(dir, &e))?;
    // Without the sync, a loss of power might undo the rename and bring back the old identity.
    let parent_dir = fs::File::open(data_dir).map_err(|e| disk_failure(data_dir, &e))?;
    parent_dir
        .sync_all()
        .map_err(|e| disk_failure(data_dir, &e))
}

/// Deletes data that was set aside if it takes up room that the replica may need.
fn drop_large_aside(data_dir: &Path, max_bytes: u64, events: &dyn EventSink) -> Outcome<()> {
    let aside = data_dir.join(SET_ASIDE_FOLDER);
    let usage = DiskUsage::of(&aside);
    if usage.total_bytes() <= max_bytes {
        return Ok(());
    }
    let event = Event::warning("aside_deleted");
    events.emit(&event.detail(format!("{usage}; at most {max_bytes} bytes are kept")));
    fs::remove_dir_all(&aside).map_err(|e| disk_failure(&aside, &e))
}

fn create_dir(dir: &Path) -> Outcome<()> {
    fs::create_dir_all(dir).map_err(|e| disk_failure(dir, &e))?;
    if let Some(parent) = dir.parent() {
        let parent_dir = fs::File::open(parent).map_err(|e| disk_failure(parent, &e))?;
        parent_dir
            .sync_all()
            .map_err(|e| disk_failure(parent, &e))?;
    }
    Ok(())
}

fn disk_failure(path: &Path, e: &std::io::Error) -> Failure {
    Failure::new(Code::DiskFull, format!("{}: {e}", path.display()))
}
