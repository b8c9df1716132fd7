//! Validated names of models, targets, tiers and others.
//!
//! A name has 1 to 128 ASCII letters, digits, `.`, `_` and `-`. The slash is excluded because it
//! separates a model from its adapter in a caller's request (`model/adapter`).

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, found {0}")]
    TooLong(usize),
    /// The text contains a character that is not allowed in names.
    #[error("a name has letters, digits, '.', '_' and '-' only, found {0:?}")]
    BadCharacter(char),
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(NameError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(text: Box<str>) -> Result<Self, NameError> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )+};
}

names! {
    /// The name of a base model in the catalogue.
    ModelName,
    /// The name of an adapter, unique within its base model.
    AdapterName,
    /// The name of a target: the VM of one engine or plain service.
    TargetName,
    /// The name of an entry process.
    EntryName,
    /// The name of a priority tier.
    TierName,
    /// The name of a caller, never the key of the caller.
    CallerName,
    /// The name of a plain service.
    ServiceName,
    /// The name of a data centre.
    DataCentre,
}
