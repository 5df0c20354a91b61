use tarragon_names::Resources;

/// What a team may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    /// Share of the team; it goes ahead of teams that use more of theirs.
    pub guaranteed: Resources,
    /// Most that the team may use, idle quota of others included; `None` for no bound.
    pub ceiling: Option<Resources>,
}

impl Quota {
    /// A guarantee without a ceiling.
    pub const fn new(guaranteed: Resources) -> Self {
        Self {
            guaranteed,
            ceiling: None,
        }
    }

    /// Tells whether the team could run this much if it ran nothing else.
    pub fn ceiling_allows(&self, resources: &Resources) -> bool {
        self.ceiling.is_none_or(|ceiling| resources.fits(&ceiling))
    }
}
