//! YAML or JSON document that holds one record.

/// A record with its schema version; exactly one of the kinds is present.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Schema version that the record is written in.
    pub schema: u32,
    /// A client account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<super::Account>,
    /// An API key of a client account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<super::Key>,
    /// A region.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<super::Region>,
    /// A link between two regions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<super::Link>,
    /// A service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<super::Service>,
    /// A target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<super::Target>,
    /// A traffic shift.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<super::Shift>,
    /// A planned drain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drain: Option<super::Drain>,
    /// The policy of the deployment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<super::Policy>,
}

impl Document {
    /// The oldest schema version that this build reads.
    pub const OLDEST_SCHEMA: u32 = 1;
    /// The newest schema version that this build reads.
    pub const NEWEST_SCHEMA: u32 = 2;
    /// The kinds of records, as named in documents.
    pub const KINDS: [&'static str; 9] = [
        "account", "key", "region", "link", "service", "target", "shift", "drain", "policy",
    ];

    /// Creates a document without a record, in the oldest schema, which every build reads.
    #[must_use]
    pub const fn empty() -> Self {
        Self {
            schema: Self::OLDEST_SCHEMA,
            account: None,
            key: None,
            region: None,
            link: None,
            service: None,
            target: None,
            shift: None,
            drain: None,
            policy: None,
        }
    }

    /// Returns the record's identity, `kind/name`, or `None` unless exactly one kind is present.
    #[must_use]
    pub fn id(&self) -> Option<String> {
        let ids: Vec<String> = [
            self.account.as_ref().map(|r| format!("account/{}", r.name)),
            self.key.as_ref().map(|r| format!("key/{}", r.name)),
            self.region.as_ref().map(|r| format!("region/{}", r.name)),
            self.link.as_ref().map(|r| format!("link/{}", r.name)),
            self.service.as_ref().map(|r| format!("service/{}", r.name)),
            self.target.as_ref().map(|r| format!("target/{}", r.name)),
            self.shift.as_ref().map(|r| format!("shift/{}", r.name)),
            self.drain.as_ref().map(|r| format!("drain/{}", r.name)),
            self.policy
                .as_ref()
                .map(|_record| "policy/deployment".to_owned()),
        ]
        .into_iter()
        .flatten()
        .collect();
        <[String; 1]>::try_from(ids).ok().map(|[id]| id)
    }
}
