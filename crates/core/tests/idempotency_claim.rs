//! Keys that name no home: one claim in the table, whose answers may be lost.

use std::collections;

use arbtest::arbitrary;
use skylark_core::idempotency;
use skylark_core::name;

const HOSTS: usize = 3;

/// Which rule a run keeps or leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// A lost answer is read back by its write id.
    ReadBack,
    /// A lost answer counts as the own claim.
    Hopeful,
    /// A claim whose holder is gone is taken over.
    TakesOver,
}

/// A write on its way to the table.
struct Write {
    claim: idempotency::Claim,
    host: usize,
}

struct World {
    rule: Rule,
    row: Option<idempotency::Claim>,
    pending: Vec<Write>,
    doubtful: Vec<Write>,
    lives: Vec<usize>,
    begun: collections::HashSet<String>,
    starts: usize,
    writes: usize,
}

impl World {
    fn holder(&self, host: usize) -> name::Incarnation {
        name::Incarnation::new(&format!("host-{host}-{}", self.lives[host])).expect("a name")
    }

    fn start(&mut self, claim: &idempotency::Claim) {
        if self.begun.insert(claim.write.clone()) {
            self.starts += 1;
        }
    }

    /// A request arrives, and its receiver sends a conditional write.
    fn arrive(&mut self, host: usize) {
        self.writes += 1;
        let claim = idempotency::Claim {
            write: format!("write-{}", self.writes),
            holder: self.holder(host),
            fingerprint: idempotency::Fingerprint::new(None, "POST", "/orders", b"oars"),
        };
        self.pending.push(Write { claim, host });
    }

    /// A write reaches the table; its answer may be lost.
    fn land(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
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
            self.doubtful.push(write);
        } else {
            self.read(&write);
        }
        Ok(())
    }

    fn read(&mut self, write: &Write) {
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
                if is_gone && self.rule == Rule::TakesOver {
                    self.start(&write.claim);
                }
            }
            idempotency::Ownership::Reused => {}
        }
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        match u.int_in_range(0..=4)? {
            0 => self.arrive(u.choose_index(HOSTS)?),
            1 => self.land(u)?,
            2 if !self.doubtful.is_empty() => {
                let write = self.doubtful.swap_remove(0);
                if self.rule == Rule::Hopeful {
                    self.start(&write.claim);
                }
                self.read(&write);
            }
            3 if u.ratio(1, 3)? => self.lives[u.choose_index(HOSTS)?] += 1,
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
        doubtful: Vec::new(),
        lives: vec![0; HOSTS],
        begun: collections::HashSet::new(),
        starts: 0,
        writes: 0,
    };
    while !u.is_empty() {
        world.step(u)?;
    }
    Ok(world.starts)
}

fn worst(rule: Rule) -> usize {
    let mut worst = 0;
    for seed in 0..2_000_u64 {
        let mut bytes = vec![0; 512];
        let mut rng: rand_chacha::ChaCha8Rng = rand::SeedableRng::seed_from_u64(seed);
        rand::Rng::fill_bytes(&mut rng, &mut bytes);
        let starts = run(rule, &mut arbitrary::Unstructured::new(&bytes)).expect("bytes enough");
        worst = worst.max(starts);
    }
    println!("{rule:?}: most starts of one key {worst}");
    worst
}

#[test]
fn a_claimed_key_starts_once() {
    assert_eq!(worst(Rule::ReadBack), 1);
}

#[test]
fn a_lost_answer_that_counts_as_a_claim_starts_twice() {
    assert!(worst(Rule::Hopeful) > 1);
}

#[test]
fn a_claim_taken_over_from_a_gone_holder_starts_twice() {
    assert!(worst(Rule::TakesOver) > 1);
}

#[test]
fn a_claim_for_another_request_is_told_apart() {
    let claim = |write: &str, body: &[u8]| idempotency::Claim {
        write: write.to_owned(),
        holder: name::Incarnation::new("kol-ghat-1-4f2a").expect("a name"),
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
