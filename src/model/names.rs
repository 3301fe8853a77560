//! Names as operators write them, with one type for each kind of name.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

name_type! {
    /// Name of a service: all backend servers that answer the same kinds of request.
    ServiceName
}
name_type! {
    /// Name of a kind of request that a service answers, such as `redeem`.
    RequestName
}
name_type! {
    /// Name of a caller: the customer or provider on whose behalf a root request is made.
    CallerName
}
name_type! {
    /// Name of an organisation: the customer that an API key belongs to.
    OrganisationName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a region, which contains one or more availability zones.
    RegionName
}
name_type! {
    /// Name of a person or program that makes an administrative change.
    AuthorName
}
