//! Planned drain record.

use crate::name;

/// A planned drain: its subject gets no new requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Name of the drain.
    pub name: String,
    /// What is drained.
    pub subject: Subject,
}

/// The target, availability zone or entry host that a drain applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "Fields", into = "Fields")]
pub enum Subject {
    /// One target.
    Target(name::Target),
    /// All targets of an availability zone.
    Zone(name::Zone),
    /// One entry host.
    Host(name::Host),
    /// An entry host that the operator declares decommissioned; its name is never reused.
    Ended(name::Host),
}

/// Serialized form of a subject: one field, named after the kind of subject.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Fields {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    target: Option<name::Target>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    zone: Option<name::Zone>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    host: Option<name::Host>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ended: Option<name::Host>,
}

impl TryFrom<Fields> for Subject {
    type Error = &'static str;

    fn try_from(fields: Fields) -> Result<Self, Self::Error> {
        match (fields.target, fields.zone, fields.host, fields.ended) {
            (Some(target), None, None, None) => Ok(Self::Target(target)),
            (None, Some(zone), None, None) => Ok(Self::Zone(zone)),
            (None, None, Some(host), None) => Ok(Self::Host(host)),
            (None, None, None, Some(host)) => Ok(Self::Ended(host)),
            _ => Err("must name exactly one of target, zone, host and ended"),
        }
    }
}

impl From<Subject> for Fields {
    fn from(subject: Subject) -> Self {
        let empty = Self::default();
        match subject {
            Subject::Target(target) => Self {
                target: Some(target),
                ..empty
            },
            Subject::Zone(zone) => Self {
                zone: Some(zone),
                ..empty
            },
            Subject::Host(host) => Self {
                host: Some(host),
                ..empty
            },
            Subject::Ended(host) => Self {
                ended: Some(host),
                ..empty
            },
        }
    }
}
