//! One life of a control process that vouches for its availability zone.

use crate::name;
use crate::record;

/// One life of a control process that vouches for its availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of this life, never used again.
    pub incarnation: name::Incarnation,
    /// Entry host on which it runs; only one life binds its address at a time.
    pub host: name::Host,
    /// Availability zone for which it vouches.
    pub zone: name::Zone,
    /// Address on which it answers its peers.
    pub steer: record::Address,
}
