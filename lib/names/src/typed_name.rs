//! A separate type for each kind of name, so that the compiler refuses one kind in place of another.

use std::sync::Arc;

use derive_more::{AsRef, Deref, Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::Name;

macro_rules! typed_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            AsRef, Clone, Debug, Default, Deref, Deserialize, Display, Eq, From, Hash, Into, Ord,
            PartialEq, PartialOrd, Serialize,
        )]
        #[as_ref(forward)]
        #[deref(forward)]
        #[from(Name, Arc<str>, String, &str)]
        #[serde(transparent)]
        pub struct $name(Name);

        impl $name {
            /// The text of the name.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                self.0.as_str()
            }
        }
    };
}

typed_name! {
    /// Name of an entry host.
    HostName
}
typed_name! {
    /// Name of a failure domain.
    DomainName
}
typed_name! {
    /// Name of a region, which holds several failure domains.
    RegionName
}
typed_name! {
    /// Name of a rack of workers.
    RackName
}
typed_name! {
    /// Name of a worker.
    WorkerName
}
typed_name! {
    /// Name of an executor, the part of a backend server that runs service requests.
    ExecutorName
}
typed_name! {
    /// Name of a team, which owns jobs and has a quota.
    TeamName
}
typed_name! {
    /// Name of a job or of a service request; catalogue entries match it by pattern.
    JobName
}
typed_name! {
    /// Name of a pool of executors that serve the same requests.
    PoolName
}
typed_name! {
    /// Idempotency key that a caller chooses; a repeat with the same key has no second effect.
    IdempotencyKey
}
