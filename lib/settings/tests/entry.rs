//! Guards against a feature that is enabled by default, cannot be enabled, or is enabled by a typo.

use std::fs;

use tarragon_settings::EntrySettings;
use yare::parameterized;

#[parameterized(
    not_set = { "", Some(false) },
    enabled = { "avoid_interference = true\n", Some(true) },
    disabled = { "avoid_interference = false\n", Some(false) },
    number = { "avoid_interference = 1\n", None },
    text = { "avoid_interference = \"true\"\n", None },
)]
fn interference_is_avoided_only_if_set(text: &str, expected: Option<bool>) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.toml");
    fs::write(&path, text).unwrap();
    let settings = EntrySettings::load(path).ok();
    assert_eq!(settings.map(|own| own.avoids_interference), expected);
}
