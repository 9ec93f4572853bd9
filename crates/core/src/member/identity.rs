//! Identity of a roster member.

use crate::name;
use crate::record;

/// A control process that confirms versions on behalf of its availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Incarnation of the process; the name is never reused.
    pub incarnation: name::Incarnation,
    /// Entry host on which it runs; one process at a time can bind its address.
    pub host: name::Host,
    /// Availability zone that it represents.
    pub zone: name::Zone,
    /// Address on which it serves its peers.
    pub steer: record::Address,
}
