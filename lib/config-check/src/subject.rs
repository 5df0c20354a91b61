use tarragon_names::Name;

/// Part of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// Settings of the configuration as a whole.
    Whole,
    /// The queue of a route, by the name of the route.
    Queue(Name),
    /// A pool, by its name.
    Pool(Name),
    /// A team, by its name.
    Team(Name),
}
