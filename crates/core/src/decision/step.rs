//! Step of a decision, with the inputs that it depended on.

use crate::kind;
use crate::name;
use crate::steer;

use super::send_result;

/// Step of a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// A check before target selection refused the request: key, rate, ledger or quarantine.
    Check {
        /// Error kind that the caller receives.
        kind: kind::ErrorKind,
    },
    /// Target selection ran, and found a target or none.
    Choose {
        /// Inputs of the choice.
        inputs: Box<steer::Inputs>,
        /// Result of the choice.
        choice: steer::Choice,
    },
    /// Admission control decided whether the request may wait for a slot.
    Admit {
        /// Inputs of the admission decision.
        inputs: steer::Admission,
        /// Result of the admission decision.
        ruling: steer::AdmissionResult,
    },
    /// The request waited in the queue and then continued.
    Waited {
        /// Time in the queue, in microseconds.
        #[serde(rename = "time_us")]
        time: u64,
    },
    /// The request was refused after it had waited in the queue.
    Dropped {
        /// Error kind that the caller receives.
        kind: kind::ErrorKind,
        /// Time in the queue, in microseconds.
        #[serde(rename = "time_us")]
        time: u64,
    },
    /// The request was sent to a target.
    Send {
        /// Target that the request was sent to.
        target: name::Target,
        /// Result of sending it.
        end: send_result::SendResult,
        /// Time until that result, in microseconds.
        #[serde(rename = "time_us")]
        time: u64,
    },
    /// The caller received a stored response, given earlier or to another host.
    #[serde(rename = "recall")]
    StoredAnswer {
        /// Target that gave the response.
        target: name::Target,
        /// HTTP status of the response.
        status: u16,
    },
    /// The retry budget or the maximum number of attempts denied a retry.
    #[serde(rename = "exhausted")]
    RetryDenied {
        /// Error kind that the caller receives.
        kind: kind::ErrorKind,
    },
}
