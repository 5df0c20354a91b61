//! How a replica gets its identity: as a founder, from its disk, or as a new learner.

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
use tarragon_storage::{FileStore, LogStore};
use tarragon_telemetry::{Event, EventSink};

use crate::EntryConfig;

/// Folder of the replica inside the data folder.
const REPLICA: &str = "replica";

/// Folder to which unreadable data is moved; a later one replaces it, since the disk is small.
const ASIDE: &str = "aside";

/// Identity of a founder, the same on every host that works it out.
///
/// A host that lost its disk draws another one, so it never votes under this identity again.
pub fn member_id_of(host: &HostName) -> MemberId {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    MemberId(hasher.hash_one(("founder", host.as_str())) | 1)
}

/// The member list with which the group begins: the seeds, which all hosts know at the first start.
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

/// Opens the store of this host and recovers what it holds.
///
/// Data that cannot be read is set aside and the host comes back as a new learner: it cannot know
/// what it has promised, so it must not vote under its old identity.
pub fn open_store(
    cfg: &EntryConfig,
    data_dir: &Path,
    fresh: MemberId,
    events: &dyn EventSink,
) -> Outcome<(FileStore, Recovered)> {
    let dir = data_dir.join(REPLICA);
    if FileStore::exists(&dir) {
        match open_existing(&dir) {
            Ok(opened) => return Ok(opened),
            Err(failure) if is_damage(&failure) => {
                let event = Event::error("data_set_aside").code(failure.code.number());
                events.emit(&event.detail(failure.cause));
                set_aside(data_dir, &dir)?;
            }
            Err(failure) => return Err(failure),
        }
    }
    let founds = cfg.is_first_start && cfg.seeds.contains(&cfg.peer_address);
    let id = if founds {
        member_id_of(&cfg.host)
    } else {
        fresh
    };
    create_dir(&dir)?;
    let mut store = FileStore::create(&dir, id)?;
    store.recover()?;
    if founds {
        let meta = SnapshotMeta {
            index: LogIndex(0),
            term: Term(0),
            members: bootstrap_members(&cfg.seeds),
        };
        store.save_snapshot(&meta, &Bytes::new())?;
    }
    let event = Event::info("replica_created");
    events.emit(&event.detail(format!("member {id}, founder: {founds}")));
    let recovered = store.recover()?;
    Ok((store, recovered))
}

fn open_existing(dir: &Path) -> Outcome<(FileStore, Recovered)> {
    let mut store = FileStore::open(dir)?;
    let recovered = store.recover()?;
    Ok((store, recovered))
}

fn is_damage(failure: &Failure) -> bool {
    matches!(failure.code, Code::CorruptRecord | Code::ForeignData)
}

fn set_aside(data_dir: &Path, dir: &Path) -> Outcome<()> {
    let aside = data_dir.join(ASIDE);
    if aside.exists() {
        fs::remove_dir_all(&aside).map_err(|e| disk(&aside, &e))?;
    }
    fs::rename(dir, &aside).map_err(|e| disk(dir, &e))?;
    // Otherwise the old identity might come back with the next loss of power.
    let folder = fs::File::open(data_dir).map_err(|e| disk(data_dir, &e))?;
    folder.sync_all().map_err(|e| disk(data_dir, &e))
}

fn create_dir(dir: &Path) -> Outcome<()> {
    fs::create_dir_all(dir).map_err(|e| disk(dir, &e))?;
    if let Some(parent) = dir.parent() {
        let folder = fs::File::open(parent).map_err(|e| disk(parent, &e))?;
        folder.sync_all().map_err(|e| disk(parent, &e))?;
    }
    Ok(())
}

fn disk(path: &Path, e: &std::io::Error) -> Failure {
    Failure::new(Code::DiskFull, format!("{}: {e}", path.display()))
}
