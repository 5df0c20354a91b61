//! Guards against an example whose mix requests work that its catalogue does not allow: the trial
//! would show only refusals.

use std::{fs, path::Path};

use serde::de::DeserializeOwned;
use tarragon_catalogue::{Catalogue, CatalogueEntry};
use tarragon_names::{JobName, Revision, Workload};
use toml::Table;
use yare::parameterized;

fn read<T>(example: &str, file: &str) -> T
where
    T: DeserializeOwned,
{
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let text = fs::read_to_string(path.join(example).join(file)).unwrap();
    toml::from_str(&text).unwrap()
}

#[parameterized(
    kovacik = { "kovacik", "kino-odd/" },
    lukang = { "lukang", "walk-dept/" },
)]
fn mix_requests_only_work_that_the_catalogue_allows(example: &str, old_prefix: &str) {
    #[derive(serde::Deserialize)]
    struct Entries {
        entries: Vec<CatalogueEntry>,
    }
    let mut catalogue = Catalogue::default();
    for entry in read::<Entries>(example, "catalogue.toml").entries {
        entry.validate().unwrap();
        catalogue.put(Revision(0), entry).unwrap();
    }
    let mix: Table = read(example, "mix.toml");
    let templates = |key: &str| mix[key].as_array().unwrap().iter();
    let name = |template: &toml::Value| JobName::from(template["name"].as_str().unwrap());
    for job in templates("jobs") {
        let kind: Workload = job["kind"].clone().try_into().unwrap();
        let entry = catalogue.resolve(&name(job)).unwrap();
        assert!(entry.workloads.contains(&kind), "{job}");
    }
    let mut repeatable = Vec::new();
    for request in templates("requests") {
        let entry = catalogue.resolve(&name(request)).unwrap();
        assert!(entry.workloads.contains(&Workload::Request), "{request}");
        repeatable.push(entry.repeatable);
    }
    assert!(repeatable.contains(&false) && repeatable.contains(&true));
    assert!(templates("jobs").any(|job| name(job).starts_with(old_prefix)));
    // The trial must cover each kind of job of a normal day: urgent work and jobs whose tasks all
    // start at once.
    let kinds: Vec<_> = templates("jobs")
        .map(|job| job["kind"].as_str().unwrap())
        .collect();
    assert!(
        ["batch", "service", "all_or_nothing"]
            .iter()
            .all(|kind| kinds.contains(kind))
    );
}
