//! Complete responses of targets, stored to replay them to repeated requests.

use crate::name;

/// The complete response of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Response {
    /// Target that sent the response.
    pub target: name::Target,
    /// HTTP status code.
    pub status: u16,
    /// Header fields that the caller receives.
    pub fields: Vec<Field>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// One header field of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Field {
    /// Name, in lower case.
    pub name: String,
    /// Value, as raw bytes.
    pub value: Vec<u8>,
}

impl Response {
    /// Returns the size of the header fields and the body, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let fields = self.fields.iter().map(|f| f.name.len() + f.value.len());
        self.body.len() + fields.sum::<usize>()
    }
}
