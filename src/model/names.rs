//! Names of things as operators write them, one type for each kind.

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
            /// The name as text.
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
    /// A service: all backend servers that answer the same requests.
    ServiceName
}
name_type! {
    /// A kind of request that a service answers, such as `redeem`.
    RequestName
}
name_type! {
    /// A caller: the customer or provider on whose behalf a root request is made.
    CallerName
}
name_type! {
    /// An availability zone.
    ZoneName
}
name_type! {
    /// A region, which holds one or more availability zones.
    RegionName
}
name_type! {
    /// A person or program that changes the configuration.
    AuthorName
}
