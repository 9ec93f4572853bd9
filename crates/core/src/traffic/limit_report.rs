//! What hosts tell each other about the limits that targets named.

/// What a target said of its limit, as one host passes it on.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LimitNotice {
    /// Digest of the target's name and start.
    pub target: u32,
    /// Requests per second from all hosts together; `None` if the target named no limit.
    pub rate: Option<f32>,
    /// Milliseconds since the target said so.
    pub age: u16,
}

/// The hosts that a message about limits is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Audience {
    /// The hosts that the sender reports to: it names what it heard from targets itself.
    Peers,
    /// The relays of the region's other zones: the sender names what its zone heard.
    NearRelays,
    /// The relays of other regions: as for those of the own region.
    FarRelays,
    /// The hosts of the sender's zone: the sender names all that it knows.
    Zone,
}

impl Audience {
    /// Number of audiences.
    pub(super) const COUNT: usize = 4;

    /// Returns the audience's position in a list of all.
    pub(super) const fn position(self) -> usize {
        match self {
            Self::Peers => 0,
            Self::NearRelays => 1,
            Self::FarRelays => 2,
            Self::Zone => 3,
        }
    }
}

/// What a host tells others about the limits that targets named.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LimitReport {
    /// The hosts that the message is meant for.
    pub audience: Audience,
    /// What targets said.
    pub notices: Vec<LimitNotice>,
}
