use std::{borrow::Borrow, sync::Arc};

use derive_more::{AsRef, Deref, Display, From};
use serde::{Deserialize, Serialize};

/// Shared immutable string; cloning it copies a pointer.
#[derive(
    AsRef,
    Clone,
    Debug,
    Deref,
    Deserialize,
    Display,
    Eq,
    From,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[as_ref(forward)]
#[deref(forward)]
#[from(Arc<str>, String, &str)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// The text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for Name {
    fn default() -> Self {
        Self(Arc::from(""))
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
