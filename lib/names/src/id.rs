//! Numbers of the replicated log and of the catalogue.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, Into, Ord,
            PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The value after this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_type! {
    /// Term of the replicated log; it has at most one leader.
    Term
}
number_type! {
    /// Position of an entry in the replicated log; the first entry has index 1.
    LogIndex
}
number_type! {
    /// Identity of a replica; a host that starts with an empty data folder draws a new one.
    MemberId
}
number_type! {
    /// Revision of the catalogue, counted over all entries; as the revision of one entry, 0 means that
    /// the entry does not exist.
    Revision
}
