/// A key that a settings file may hold.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// Path of the key, such as `timing.worker_lease_ms`; without an index for tables in a list.
    pub path: String,
    /// Value that applies if the key is absent. `required` if the key must be present, `none` if no
    /// value applies.
    pub default: String,
}
