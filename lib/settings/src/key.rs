/// A key that a settings file may hold.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// Path of the key, as in `timing.worker_lease_ms`.
    pub path: String,
    /// Value that an absent key stands for, `required`, or `none`.
    pub default: String,
}
