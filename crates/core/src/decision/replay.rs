//! Deterministic replay of a decision from its record.

use std::collections;
use std::fmt;

use crate::catalog;
use crate::kind;
use crate::name;
use crate::record;
use crate::steer;
use crate::unit;

use super::Decision;
use super::send_result;
use super::step;
use super::verdict;

/// Result of a replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replay {
    /// All steps and the verdict were reproduced.
    Same,
    /// These parts of the record were not reproduced.
    Differs(Vec<Difference>),
    /// The given configuration records have another version than the decision.
    OtherVersion {
        /// Version in the decision record.
        recorded: unit::Version,
        /// Version of the given configuration records.
        given: unit::Version,
    },
    /// The decision record has this schema version, which is newer than this build reads.
    NewerSchema(u32),
}

/// Difference between a decision record and its replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Difference {
    /// The digest does not match the record.
    Digest,
    /// The seed is not derived from the request's id.
    Seed,
    /// No configuration record has this name.
    Name(String),
    /// The step with this index contradicts the records or has a different result.
    Step(usize),
    /// The verdict does not follow from the steps.
    Verdict,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Digest => f.write_str("the digest does not fit the record"),
            Self::Seed => f.write_str("the seed is not derived from the request's id"),
            Self::Name(name) => write!(f, "'{name}' is in no record of this version"),
            Self::Step(number) => write!(f, "step {number} has a different result"),
            Self::Verdict => f.write_str("the verdict does not follow from the steps"),
        }
    }
}

impl Decision {
    /// Replays the decision with the configuration records of its version.
    #[must_use]
    pub fn replay(&self, catalog: &catalog::Catalog) -> Replay {
        if self.schema > Self::SCHEMA {
            return Replay::NewerSchema(self.schema);
        }
        if self.version != catalog.version {
            return Replay::OtherVersion {
                recorded: self.version,
                given: catalog.version,
            };
        }
        let differences = self.differences(catalog);
        if differences.is_empty() {
            return Replay::Same;
        }
        Replay::Differs(differences)
    }

    fn differences(&self, catalog: &catalog::Catalog) -> Vec<Difference> {
        let mut found = Vec::new();
        if self.compute_digest() != self.digest {
            found.push(Difference::Digest);
        }
        if steer::Seed::of(&self.id) != self.seed {
            found.push(Difference::Seed);
        }
        found.extend(self.unknown_names(catalog));
        let targets = self.targets(catalog);
        let mut tried = collections::BTreeSet::new();
        for (number, step) in self.steps.iter().enumerate() {
            if !self.is_reproduced(step, catalog, &targets, &tried) {
                found.push(Difference::Step(number));
            }
            if let step::Step::Send { target, .. } = step {
                tried.insert(target.clone());
            }
        }
        if !self.leads_to_verdict(&targets) {
            found.push(Difference::Verdict);
        }
        found
    }

    fn unknown_names(&self, catalog: &catalog::Catalog) -> Vec<Difference> {
        let service = self
            .service
            .as_ref()
            .filter(|name| !catalog.services.contains_key(*name))
            .map(|name| Difference::Name(name.to_string()));
        let account = self
            .account
            .as_ref()
            .filter(|name| !catalog.accounts.contains_key(*name))
            .map(|name| Difference::Name(name.to_string()));
        service.into_iter().chain(account).collect()
    }

    /// Returns the service's targets, in the order of the indexes of candidates.
    fn targets<'a>(&self, catalog: &'a catalog::Catalog) -> Vec<&'a record::Target> {
        let service = self.service.as_ref();
        catalog
            .targets
            .values()
            .filter(|target| Some(&target.service) == service)
            .collect()
    }

    fn is_reproduced(
        &self,
        step: &step::Step,
        catalog: &catalog::Catalog,
        targets: &[&record::Target],
        tried: &collections::BTreeSet<name::Target>,
    ) -> bool {
        match step {
            step::Step::Choose { inputs, choice } => {
                let candidates = || inputs.tiers.iter().flat_map(|tier| &tier.drawn);
                let matches_records = candidates().all(|known| {
                    let target = targets.get(known.index as usize);
                    target.is_some_and(|target| {
                        known.slots == target.slots
                            && !catalog.is_drained(target)
                            && known.is_tried == tried.contains(&target.name)
                    })
                });
                matches_records
                    && inputs.seed == self.seed
                    && inputs.is_consistent()
                    && inputs.choose() == *choice
            }
            step::Step::Admit { inputs, ruling } => {
                let bound = self
                    .service
                    .as_ref()
                    .and_then(|name| catalog.services.get(name))
                    .map(|service| service.queue);
                bound == Some(inputs.bound) && inputs.decide() == *ruling
            }
            step::Step::Send { target, .. } => targets.iter().any(|known| known.name == *target),
            step::Step::Check { .. }
            | step::Step::Waited { .. }
            | step::Step::Dropped { .. }
            | step::Step::StoredAnswer { .. }
            | step::Step::RetryDenied { .. } => true,
        }
    }

    fn leads_to_verdict(&self, targets: &[&record::Target]) -> bool {
        self.sends_follow_choices(targets)
            && match &self.verdict {
                verdict::Verdict::Served { target, status } => matches!(
                    self.steps.last(),
                    Some(
                        step::Step::Send { target: last, end: send_result::SendResult::Answered(code), .. }
                            | step::Step::StoredAnswer { target: last, status: code }
                    ) if last == target && code == status
                ),
                verdict::Verdict::Refused { kind, .. } => {
                    self.steps.last().is_some_and(|step| leads_to(step, *kind))
                }
            }
    }

    /// Returns whether each send went to the target that the step before it chose.
    fn sends_follow_choices(&self, targets: &[&record::Target]) -> bool {
        let is_chosen_by = |step: &step::Step, sent: &name::Target| match step {
            step::Step::Choose {
                choice: steer::Choice::Target(index),
                ..
            } => targets
                .get(*index as usize)
                .is_some_and(|target| target.name == *sent),
            _ => false,
        };
        (0..self.steps.len()).all(|number| match &self.steps[number] {
            step::Step::Send { target, .. } => {
                number > 0 && is_chosen_by(&self.steps[number - 1], target)
            }
            _ => true,
        })
    }
}

/// Returns whether a request whose last step is this one is refused with this error kind.
fn leads_to(step: &step::Step, kind: kind::ErrorKind) -> bool {
    use kind::ErrorKind;
    match step {
        step::Step::Check { kind: recorded }
        | step::Step::Dropped { kind: recorded, .. }
        | step::Step::RetryDenied { kind: recorded } => *recorded == kind,
        step::Step::Admit { ruling, .. } => *ruling == steer::AdmissionResult::Refuse(kind),
        step::Step::Choose { choice, .. } => match choice {
            steer::Choice::DeadlineUnmet => kind == ErrorKind::DeadlineUnmet,
            steer::Choice::NoTarget => kind == ErrorKind::NoTarget,
            steer::Choice::NoFreeSlot => kind == ErrorKind::Overloaded,
            steer::Choice::Target(_) => false,
        },
        step::Step::Send { end, .. } => match end {
            send_result::SendResult::Broken => kind == ErrorKind::TargetFailed,
            send_result::SendResult::Expired => {
                matches!(kind, ErrorKind::DeadlineUnmet | ErrorKind::TargetFailed)
            }
            send_result::SendResult::NotStarted => {
                matches!(kind, ErrorKind::Overloaded | ErrorKind::NoTarget)
            }
            send_result::SendResult::Answered(_) => false,
        },
        step::Step::Waited { .. } | step::Step::StoredAnswer { .. } => false,
    }
}
