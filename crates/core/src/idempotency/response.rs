//! Whole answers of targets, kept for resends.

use crate::name;

/// The whole answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Response {
    /// Target that answered.
    pub target: name::Target,
    /// HTTP status code.
    pub status: u16,
    /// Header fields that the caller receives.
    pub fields: Vec<Field>,
    /// Body.
    pub body: Vec<u8>,
}

/// One header field of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Field {
    /// Name of the field, in lower case.
    pub name: String,
    /// Value of the field.
    pub value: Vec<u8>,
}

impl Response {
    /// Returns the memory that the answer's content takes, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let fields = self.fields.iter().map(|f| f.name.len() + f.value.len());
        self.body.len() + fields.sum::<usize>()
    }
}
