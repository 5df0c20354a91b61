//! Guards against a reference page of the settings that differs from the keys that are read.

use std::{fs, path::Path};

use tarragon_settings::{EntrySettings, HostSettings, Key, StandinSettings};
use yare::parameterized;

#[parameterized(
    host = { "## Host", HostSettings::keys() },
    entry = { "## Entry daemon", EntrySettings::keys() },
    standins = { "## Stand-ins", StandinSettings::keys() },
)]
fn page_lists_each_key_with_its_default(heading: &str, keys: Vec<Key>) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let text = fs::read_to_string(path).unwrap();
    let section = text.split_once(heading).unwrap().1;
    let section = section.split("\n## ").next().unwrap();
    let rows = section.lines().filter_map(|line| {
        let (path, rest) = line.strip_prefix("| `")?.split_once("` | ")?;
        let (default, _) = rest.split_once(" | ")?;
        Some(Key {
            path: path.to_owned(),
            default: default.to_owned(),
        })
    });
    assert_eq!(rows.collect::<Vec<_>>(), keys);
}
