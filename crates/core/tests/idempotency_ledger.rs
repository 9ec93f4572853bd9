//! The ledger, compared with a reference that keeps every key for ever.

use std::collections;
use std::sync;
use std::time;

use skylark_core::idempotency;
use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::timestamp;
use skylark_testing as testing;

const START_SECONDS: u64 = 1_765_000_000;

/// A reference ledger that keeps every key for ever.
#[derive(Default)]
struct Reference {
    known:
        collections::HashMap<String, (idempotency::Fingerprint, Option<idempotency::FinalState>)>,
}

impl Reference {
    fn expected(
        &self,
        key: &idempotency::Key,
        fingerprint: idempotency::Fingerprint,
    ) -> idempotency::Disposition {
        match &self.known[key.as_str()] {
            (first, _) if *first != fingerprint => idempotency::Disposition::Reused,
            (_, None) => idempotency::Disposition::Running,
            (_, Some(idempotency::FinalState::Answered(response))) => {
                idempotency::Disposition::Replay(sync::Arc::clone(response))
            }
            (_, Some(idempotency::FinalState::Refused(kind))) => {
                idempotency::Disposition::Refused(*kind)
            }
            (_, Some(idempotency::FinalState::Lost)) => idempotency::Disposition::Unknown,
        }
    }
}

fn ledger(limits: idempotency::Limits) -> idempotency::Ledger {
    idempotency::Ledger::new(
        limits,
        timestamp::Timestamp::from_millis(START_SECONDS * 1_000),
    )
}

fn home(issued: u64) -> idempotency::Home {
    idempotency::Home::new(
        &name::Incarnation::new("kol-ghat-1-4f2a").expect("valid name"),
        issued,
    )
}

fn fingerprint(text: &str) -> idempotency::Fingerprint {
    idempotency::Fingerprint::new(None, "POST", "/orders", text.as_bytes())
}

fn answered(size: usize) -> idempotency::FinalState {
    idempotency::FinalState::Answered(sync::Arc::new(idempotency::Response {
        target: name::Target::new("target-1").expect("valid name"),
        status: 201,
        fields: Vec::new(),
        body: vec![b'x'; size],
    }))
}

#[test]
fn the_ledger_agrees_with_the_reference_or_reports_that_it_cannot_know() {
    testing::check(|u| {
        let limits = idempotency::Limits {
            retention: time::Duration::from_mins(4),
            max_skew: time::Duration::from_mins(1),
            max_keys: 20,
            max_response_bytes: 100,
        };
        let mut ledger = ledger(limits);
        let mut reference = Reference::default();
        let mut permits = Vec::new();
        let mut now = instant::Instant::ORIGIN;
        while !u.is_empty() {
            now = now + time::Duration::from_secs(u.int_in_range(0..=40)?);
            let issued = START_SECONDS + u.int_in_range(0..=1_200)?;
            let unique = u.int_in_range(0..=3)?;
            let key = idempotency::Key::new(&format!("{}.{unique}", home(issued / 150 * 150)));
            let key = key.expect("valid key");
            let fingerprint = fingerprint(if u.ratio(1, 6)? { "other" } else { "oars" });
            if u.ratio(1, 4)? && !permits.is_empty() {
                let index = u.choose_index(permits.len())?;
                let (text, permit) = permits.swap_remove(index);
                let final_state = match u.int_in_range(0..=2)? {
                    0 => idempotency::FinalState::Lost,
                    1 => idempotency::FinalState::Refused(kind::ErrorKind::NoTarget),
                    _ => answered(u.int_in_range(0..=60)?),
                };
                ledger.finish(permit, final_state.clone());
                reference.known.get_mut(&text).expect("a started key").1 = Some(final_state);
            }
            match ledger.begin(now, &key, fingerprint) {
                idempotency::Disposition::Start(permit) => {
                    let text = key.as_str().to_owned();
                    let earlier = reference.known.insert(text.clone(), (fingerprint, None));
                    assert_eq!(earlier, None, "{text} started twice");
                    permits.push((text, permit));
                }
                idempotency::Disposition::Expired
                | idempotency::Disposition::Evicted
                | idempotency::Disposition::Full => {}
                other => assert_eq!(other, reference.expected(&key, fingerprint)),
            }
            assert!(ledger.len() <= limits.max_keys);
        }
        Ok(())
    });
}

#[test]
fn an_expired_key_never_starts() {
    let mut ledger = ledger(idempotency::Limits::default());
    let key = idempotency::Key::new(&format!("{}.1", home(START_SECONDS))).expect("valid key");
    let mut now = instant::Instant::ORIGIN;
    assert!(matches!(
        ledger.begin(now, &key, fingerprint("oars")),
        idempotency::Disposition::Start(_)
    ));
    for _ in 0..120 {
        now = now + time::Duration::from_secs(20);
        let disposition = ledger.begin(now, &key, fingerprint("oars"));
        assert!(matches!(
            disposition,
            idempotency::Disposition::Running | idempotency::Disposition::Expired
        ));
    }
    assert!(ledger.is_empty());
}

#[test]
fn a_key_issued_in_the_future_is_not_reported_as_not_run() {
    let mut ledger = ledger(idempotency::Limits::default());
    let key =
        idempotency::Key::new(&format!("{}.1", home(START_SECONDS + 600))).expect("valid key");
    let disposition = ledger.begin(instant::Instant::ORIGIN, &key, fingerprint("oars"));
    assert_eq!(disposition, idempotency::Disposition::Expired);
    let (_kind, outcome) = disposition.refusal().expect("the disposition is a refusal");
    assert_eq!(outcome, kind::Outcome::Unknown);
}

#[test]
fn a_leaving_home_starts_no_key_and_ends_its_copy_when_idle() {
    let mut ledger = ledger(idempotency::Limits::default());
    let key = |unique| {
        idempotency::Key::new(&format!("{}.{unique}", home(START_SECONDS))).expect("valid key")
    };
    let now = instant::Instant::ORIGIN;
    let idempotency::Disposition::Start(permit) = ledger.begin(now, &key(1), fingerprint("oars"))
    else {
        panic!("a new key starts");
    };
    ledger.leave();
    let disposition = ledger.begin(now, &key(2), fingerprint("oars"));
    assert_eq!(
        disposition,
        idempotency::Disposition::Refused(kind::ErrorKind::Leaving)
    );
    assert_eq!(ledger.end_marker(), None);
    let entry = ledger
        .finish(permit, answered(3))
        .expect("the ledger returns an entry");
    let end = ledger.end_marker();
    assert!(end.is_some());
    let pages = [idempotency::Page {
        entries: vec![entry],
    }];
    let disposition = idempotency::resolve(&key(1), fingerprint("oars"), &pages, end);
    assert!(matches!(
        disposition,
        Some(idempotency::Disposition::Replay(_))
    ));
    let disposition = idempotency::resolve(&key(2), fingerprint("oars"), &pages, end);
    assert_eq!(
        disposition,
        Some(idempotency::Disposition::Refused(kind::ErrorKind::Leaving))
    );
    assert_eq!(
        idempotency::resolve(&key(2), fingerprint("oars"), &pages, None),
        None
    );
}

#[test]
fn responses_over_the_limit_are_evicted_but_their_keys_stay_known() {
    let limits = idempotency::Limits {
        max_response_bytes: 50,
        ..idempotency::Limits::default()
    };
    let mut ledger = ledger(limits);
    let key = |unique| {
        idempotency::Key::new(&format!("{}.{unique}", home(START_SECONDS))).expect("valid key")
    };
    let now = instant::Instant::ORIGIN;
    for unique in 0..3 {
        let idempotency::Disposition::Start(permit) =
            ledger.begin(now, &key(unique), fingerprint("oars"))
        else {
            panic!("a new key starts");
        };
        assert!(ledger.finish(permit, answered(30)).is_some());
    }
    assert_eq!(
        ledger.begin(now, &key(0), fingerprint("oars")),
        idempotency::Disposition::Evicted
    );
    assert!(matches!(
        ledger.begin(now, &key(2), fingerprint("oars")),
        idempotency::Disposition::Replay(_)
    ));
}

#[test]
fn a_key_names_its_home_only_in_the_form_that_a_look_up_issues() {
    let named = idempotency::Key::new("kol-ghat-1-4f2a.t1765000000.9c1e").expect("valid key");
    assert_eq!(named.home(), Some(&home(1_765_000_000)));
    for text in [
        "order-77",
        "a.b.c",
        "kol-ghat-1.tx5.9c1e",
        "kol-ghat-1.t+5.9c1e",
        "K.t5.9",
    ] {
        assert_eq!(
            idempotency::Key::new(text).expect("valid key").home(),
            None,
            "{text}"
        );
    }
    for text in ["", "with space", "tab\t", "käse", &"k".repeat(256)] {
        assert!(idempotency::Key::new(text).is_err(), "{text}");
    }
}

#[test]
fn fingerprints_depend_on_where_one_part_ends_and_the_next_begins() {
    let account = name::Account::new("a").expect("valid name");
    let one = idempotency::Fingerprint::new(Some(&account), "POST", "/ab", b"c");
    let two = idempotency::Fingerprint::new(Some(&account), "POST", "/a", b"bc");
    let open = idempotency::Fingerprint::new(None, "POST", "/ab", b"c");
    assert!(one != two && one != open);
}
