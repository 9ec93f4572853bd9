//! One step of a decision, with the inputs it depended on.

use crate::kind;
use crate::name;
use crate::steer;

use super::send_result;

/// One step of a decision, in the order taken.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// A check before steering refused the request: key, rate, ledger, quarantine.
    Check {
        /// Why.
        kind: kind::ErrorKind,
    },
    /// A target was chosen, or none was found.
    Choose {
        /// What the choice depended on.
        inputs: Box<steer::Inputs>,
        /// What it came to.
        choice: steer::Choice,
    },
    /// The request asked to wait for a slot.
    Admit {
        /// What admission depended on.
        inputs: steer::Admission,
        /// What it came to.
        ruling: steer::AdmissionResult,
    },
    /// The request waited for this time, in microseconds, and goes on.
    Waited {
        /// Time in the queue, in microseconds.
        #[serde(rename = "time_us")]
        time: u64,
    },
    /// The request left the queue unserved after waiting.
    Dropped {
        /// Why.
        kind: kind::ErrorKind,
        /// Time in the queue, in microseconds.
        #[serde(rename = "time_us")]
        time: u64,
    },
    /// The request was sent to a target.
    Send {
        /// The target.
        target: name::Target,
        /// How the exchange ended.
        end: send_result::SendResult,
        /// Time until its end, in microseconds.
        #[serde(rename = "time_us")]
        time: u64,
    },
    /// An answer that the target gave earlier, or to another host, was told.
    #[serde(rename = "recall")]
    StoredAnswer {
        /// The target that answered.
        target: name::Target,
        /// HTTP status of the answer.
        status: u16,
    },
    /// A further attempt was refused by the retry budget or its bounds.
    #[serde(rename = "exhausted")]
    RetryDenied {
        /// What the caller is told.
        kind: kind::ErrorKind,
    },
}
