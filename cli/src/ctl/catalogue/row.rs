use tarragon_client::EntryView;

pub(super) const HEAD: [&str; 7] = [
    "PATTERN",
    "REVISION",
    "OWNER",
    "CLASS",
    "WORKLOADS",
    "POOL",
    "REPEATABLE",
];

/// One line of a list of entries.
pub(super) fn row(view: &EntryView) -> [String; 7] {
    let pattern = view.pattern.to_string();
    let revision = view.revision.to_string();
    let Some(entry) = &view.entry else {
        let none = || "-".to_owned();
        return [
            pattern,
            revision,
            "(deleted)".to_owned(),
            none(),
            none(),
            none(),
            none(),
        ];
    };
    let workloads: Vec<_> = entry.workloads.iter().map(ToString::to_string).collect();
    [
        pattern,
        revision,
        entry.owner.to_string(),
        entry.class.to_string(),
        workloads.join(","),
        entry
            .pool
            .as_ref()
            .map_or_else(|| "-".to_owned(), ToString::to_string),
        entry.repeatable.to_string(),
    ]
}
