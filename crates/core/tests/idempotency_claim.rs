//! Keys that name no home: one claim in the table decides, also when replies are lost.

use std::collections;

use arbtest::arbitrary;
use skylark_core::idempotency;
use skylark_core::name;

const HOSTS: usize = 3;

/// How a simulation resolves a lost reply and a claim of a stopped process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// The row is read after a lost reply, and its write id compared.
    ReadBack,
    /// A lost reply counts as a successful claim.
    AssumeOwn,
    /// A claim whose holder has stopped is taken over.
    TakeOver,
}

/// A conditional write that the table has not received yet.
struct Write {
    claim: idempotency::Claim,
    host: usize,
}

struct World {
    rule: Rule,
    row: Option<idempotency::Claim>,
    pending: Vec<Write>,
    unconfirmed: Vec<Write>,
    restarts: Vec<usize>,
    started_writes: collections::HashSet<String>,
    starts: usize,
    writes: usize,
}

impl World {
    fn holder(&self, host: usize) -> name::Incarnation {
        name::Incarnation::new(&format!("host-{host}-{}", self.restarts[host])).expect("valid name")
    }

    fn start(&mut self, claim: &idempotency::Claim) {
        if self.started_writes.insert(claim.write.clone()) {
            self.starts += 1;
        }
    }

    /// Receives a request and sends the conditional write of its claim.
    fn arrive(&mut self, host: usize) {
        self.writes += 1;
        let claim = idempotency::Claim {
            write: format!("write-{}", self.writes),
            holder: self.holder(host),
            fingerprint: idempotency::Fingerprint::new(None, "POST", "/orders", b"oars"),
        };
        self.pending.push(Write { claim, host });
    }

    /// Applies a write to the table; its reply may be lost.
    fn apply_write(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let write = self
            .pending
            .swap_remove(u.choose_index(self.pending.len())?);
        if self.row.is_none() {
            self.row = Some(write.claim.clone());
        }
        if u.ratio(1, 2)? {
            self.unconfirmed.push(write);
        } else {
            self.on_read(&write);
        }
        Ok(())
    }

    fn on_read(&mut self, write: &Write) {
        if write.claim.holder != self.holder(write.host) {
            return;
        }
        let Some(found) = self.row.clone() else {
            return;
        };
        match write.claim.ownership(&found) {
            idempotency::Ownership::Own => self.start(&write.claim),
            idempotency::Ownership::Other(holder) => {
                let is_gone = (0..HOSTS).all(|host| self.holder(host) != holder);
                if is_gone && self.rule == Rule::TakeOver {
                    self.start(&write.claim);
                }
            }
            idempotency::Ownership::Reused => {}
        }
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        match u.int_in_range(0..=4)? {
            0 => self.arrive(u.choose_index(HOSTS)?),
            1 => self.apply_write(u)?,
            2 if !self.unconfirmed.is_empty() => {
                let write = self.unconfirmed.swap_remove(0);
                if self.rule == Rule::AssumeOwn {
                    self.start(&write.claim);
                }
                self.on_read(&write);
            }
            3 if u.ratio(1, 3)? => self.restarts[u.choose_index(HOSTS)?] += 1,
            _ => {}
        }
        Ok(())
    }
}

fn run(rule: Rule, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<usize> {
    let mut world = World {
        rule,
        row: None,
        pending: Vec::new(),
        unconfirmed: Vec::new(),
        restarts: vec![0; HOSTS],
        started_writes: collections::HashSet::new(),
        starts: 0,
        writes: 0,
    };
    while !u.is_empty() {
        world.step(u)?;
    }
    Ok(world.starts)
}

fn max_starts(rule: Rule) -> usize {
    let mut max_starts = 0;
    for seed in 0..2_000_u64 {
        let mut bytes = vec![0; 512];
        let mut rng: rand_chacha::ChaCha8Rng = rand::SeedableRng::seed_from_u64(seed);
        rand::Rng::fill_bytes(&mut rng, &mut bytes);
        let starts = run(rule, &mut arbitrary::Unstructured::new(&bytes)).expect("enough bytes");
        max_starts = max_starts.max(starts);
    }
    println!("{rule:?}: most starts of one key {max_starts}");
    max_starts
}

#[test]
fn a_claimed_key_starts_once() {
    assert_eq!(max_starts(Rule::ReadBack), 1);
}

#[test]
fn a_lost_reply_that_counts_as_a_claim_starts_twice() {
    assert!(max_starts(Rule::AssumeOwn) > 1);
}

#[test]
fn a_claim_taken_over_from_a_stopped_holder_starts_twice() {
    assert!(max_starts(Rule::TakeOver) > 1);
}

#[test]
fn a_claim_for_another_request_is_distinguished() {
    let claim = |write: &str, body: &[u8]| idempotency::Claim {
        write: write.to_owned(),
        holder: name::Incarnation::new("kol-ghat-1-4f2a").expect("valid name"),
        fingerprint: idempotency::Fingerprint::new(None, "POST", "/orders", body),
    };
    let own = claim("w1", b"oars");
    assert_eq!(
        own.ownership(&claim("w2", b"paddles")),
        idempotency::Ownership::Reused
    );
    assert_eq!(
        own.ownership(&claim("w2", b"oars")),
        idempotency::Ownership::Other(own.holder.clone())
    );
}
