//! Names of accounts, services, VMs, availability zones, backend servers and edits.
//!
//! Each kind of name has a type of its own. All share the same syntax, and clones share the same
//! text, so that they are cheap.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 128;

fn validate(what: &'static str, raw: &str) -> Result<Arc<str>, Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if raw.is_empty() || raw.len() > MAX_NAME_BYTES || !raw.chars().all(allowed) {
        return Err(ErrorKind::Name { what, raw: raw.chars().take(40).collect() }.into());
    }
    Ok(Arc::from(raw))
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(raw: &str) -> Result<Self, Error> {
                validate($what, raw).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(raw: String) -> Result<Self, Error> {
                Self::try_from(raw.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name!(
    /// The name of a client account.
    AccountName,
    "account"
);
impl AccountName {
    /// Returns the account of requests that need no credential.
    #[must_use]
    pub fn public() -> Self {
        Self(Arc::from("public"))
    }
}

name!(
    /// The id of a catalogue edit, chosen by the operator so that a retry is recognised.
    EditId,
    "edit id"
);
name!(
    /// The id of a backend server, unique within the deployment.
    ServerId,
    "server id"
);
name!(
    /// The name of a service that backend servers offer.
    ServiceName,
    "service"
);
name!(
    /// The version of the software that a backend server runs.
    VersionName,
    "version"
);
name!(
    /// The name of a VM. In a deployment with roles it is the VM's IP address.
    VmName,
    "VM name"
);
name!(
    /// The name of an availability zone.
    ZoneName,
    "availability zone"
);
