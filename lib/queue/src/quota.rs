use tarragon_names::Resources;

/// Resources that a team may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quota {
    /// Resources guaranteed to the team. Jobs of teams that use a smaller share of their guarantee
    /// go first.
    pub guaranteed: Resources,
    /// Maximum that the team may use, including quota borrowed from other teams; `None` for no
    /// limit.
    pub ceiling: Option<Resources>,
}

impl Quota {
    /// A quota that guarantees `guaranteed` and has no ceiling.
    pub const fn new(guaranteed: Resources) -> Self {
        Self {
            guaranteed,
            ceiling: None,
        }
    }

    /// Whether the ceiling allows a usage of `resources` in total.
    pub fn ceiling_allows(&self, resources: &Resources) -> bool {
        self.ceiling.is_none_or(|ceiling| resources.fits(&ceiling))
    }
}
