//! The ledger against a naive one that remembers every key for ever.

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

/// Remembers every key for ever.
#[derive(Default)]
struct Naive {
    known:
        collections::HashMap<String, (idempotency::Fingerprint, Option<idempotency::FinalState>)>,
}

impl Naive {
    fn expected(
        &self,
        key: &idempotency::Key,
        print: idempotency::Fingerprint,
    ) -> idempotency::Disposition {
        match &self.known[key.as_str()] {
            (first, _) if *first != print => idempotency::Disposition::Reused,
            (_, None) => idempotency::Disposition::Running,
            (_, Some(idempotency::FinalState::Answered(answer))) => {
                idempotency::Disposition::Replay(sync::Arc::clone(answer))
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
        &name::Incarnation::new("kol-ghat-1-4f2a").expect("a name"),
        issued,
    )
}

fn print(text: &str) -> idempotency::Fingerprint {
    idempotency::Fingerprint::new(None, "POST", "/orders", text.as_bytes())
}

fn answer(size: usize) -> idempotency::FinalState {
    idempotency::FinalState::Answered(sync::Arc::new(idempotency::Response {
        target: name::Target::new("target-1").expect("a name"),
        status: 201,
        fields: Vec::new(),
        body: vec![b'x'; size],
    }))
}

#[test]
fn the_ledger_says_what_one_that_never_forgets_says_or_that_it_cannot_know() {
    testing::check(|u| {
        let limits = idempotency::Limits {
            retention: time::Duration::from_mins(4),
            max_skew: time::Duration::from_mins(1),
            max_keys: 20,
            max_response_bytes: 100,
        };
        let mut ledger = ledger(limits);
        let mut naive = Naive::default();
        let mut permits = Vec::new();
        let mut now = instant::Instant::ORIGIN;
        while !u.is_empty() {
            now = now + time::Duration::from_secs(u.int_in_range(0..=40)?);
            let issued = START_SECONDS + u.int_in_range(0..=1_200)?;
            let unique = u.int_in_range(0..=3)?;
            let key = idempotency::Key::new(&format!("{}.{unique}", home(issued / 150 * 150)));
            let key = key.expect("a key");
            let print = print(if u.ratio(1, 6)? { "other" } else { "oars" });
            if u.ratio(1, 4)? && !permits.is_empty() {
                let index = u.choose_index(permits.len())?;
                let (text, permit) = permits.swap_remove(index);
                let fate = match u.int_in_range(0..=2)? {
                    0 => idempotency::FinalState::Lost,
                    1 => idempotency::FinalState::Refused(kind::ErrorKind::NoTarget),
                    _ => answer(u.int_in_range(0..=60)?),
                };
                ledger.finish(permit, fate.clone());
                naive.known.get_mut(&text).expect("started").1 = Some(fate);
            }
            match ledger.begin(now, &key, print) {
                idempotency::Disposition::Start(permit) => {
                    let text = key.as_str().to_owned();
                    let earlier = naive.known.insert(text.clone(), (print, None));
                    assert_eq!(earlier, None, "{text} started twice");
                    permits.push((text, permit));
                }
                idempotency::Disposition::Expired
                | idempotency::Disposition::Evicted
                | idempotency::Disposition::Full => {}
                other => assert_eq!(other, naive.expected(&key, print)),
            }
            assert!(ledger.len() <= limits.max_keys);
        }
        Ok(())
    });
}

#[test]
fn a_forgotten_key_is_never_fit_to_start() {
    let mut ledger = ledger(idempotency::Limits::default());
    let key = idempotency::Key::new(&format!("{}.1", home(START_SECONDS))).expect("a key");
    let mut now = instant::Instant::ORIGIN;
    assert!(matches!(
        ledger.begin(now, &key, print("oars")),
        idempotency::Disposition::Start(_)
    ));
    for _ in 0..120 {
        now = now + time::Duration::from_secs(20);
        let begin = ledger.begin(now, &key, print("oars"));
        assert!(matches!(
            begin,
            idempotency::Disposition::Running | idempotency::Disposition::Expired
        ));
    }
    assert!(ledger.is_empty());
}

#[test]
fn a_key_from_ahead_of_the_home_s_clock_is_not_called_not_run() {
    let mut ledger = ledger(idempotency::Limits::default());
    let key = idempotency::Key::new(&format!("{}.1", home(START_SECONDS + 600))).expect("a key");
    let begin = ledger.begin(instant::Instant::ORIGIN, &key, print("oars"));
    assert_eq!(begin, idempotency::Disposition::Expired);
    let (_kind, outcome) = begin.refusal().expect("a refusal");
    assert_eq!(outcome, kind::Outcome::Unknown);
}

#[test]
fn a_leaving_home_starts_nothing_and_ends_its_copy_when_idle() {
    let mut ledger = ledger(idempotency::Limits::default());
    let key = |unique| {
        idempotency::Key::new(&format!("{}.{unique}", home(START_SECONDS))).expect("a key")
    };
    let now = instant::Instant::ORIGIN;
    let idempotency::Disposition::Start(permit) = ledger.begin(now, &key(1), print("oars")) else {
        panic!("a new key starts");
    };
    ledger.leave();
    let begin = ledger.begin(now, &key(2), print("oars"));
    assert_eq!(
        begin,
        idempotency::Disposition::Refused(kind::ErrorKind::Leaving)
    );
    assert_eq!(ledger.end_marker(), None);
    let entry = ledger.finish(permit, answer(3)).expect("an entry");
    let end = ledger.end_marker();
    assert!(end.is_some());
    let pages = [idempotency::Page {
        entries: vec![entry],
    }];
    let told = idempotency::resolve(&key(1), print("oars"), &pages, end);
    assert!(matches!(told, Some(idempotency::Disposition::Replay(_))));
    let told = idempotency::resolve(&key(2), print("oars"), &pages, end);
    assert_eq!(
        told,
        Some(idempotency::Disposition::Refused(kind::ErrorKind::Leaving))
    );
    assert_eq!(
        idempotency::resolve(&key(2), print("oars"), &pages, None),
        None
    );
}

#[test]
fn answers_past_the_bound_leave_memory_but_stay_known() {
    let limits = idempotency::Limits {
        max_response_bytes: 50,
        ..idempotency::Limits::default()
    };
    let mut ledger = ledger(limits);
    let key = |unique| {
        idempotency::Key::new(&format!("{}.{unique}", home(START_SECONDS))).expect("a key")
    };
    let now = instant::Instant::ORIGIN;
    for unique in 0..3 {
        let idempotency::Disposition::Start(permit) =
            ledger.begin(now, &key(unique), print("oars"))
        else {
            panic!("a new key starts");
        };
        assert!(ledger.finish(permit, answer(30)).is_some());
    }
    assert_eq!(
        ledger.begin(now, &key(0), print("oars")),
        idempotency::Disposition::Evicted
    );
    assert!(matches!(
        ledger.begin(now, &key(2), print("oars")),
        idempotency::Disposition::Replay(_)
    ));
}

#[test]
fn a_key_names_its_home_only_in_the_form_of_a_look_up() {
    let named = idempotency::Key::new("kol-ghat-1-4f2a.t1765000000.9c1e").expect("a key");
    assert_eq!(named.home(), Some(&home(1_765_000_000)));
    for text in [
        "order-77",
        "a.b.c",
        "kol-ghat-1.tx5.9c1e",
        "kol-ghat-1.t+5.9c1e",
        "K.t5.9",
    ] {
        assert_eq!(
            idempotency::Key::new(text).expect("a key").home(),
            None,
            "{text}"
        );
    }
    for text in ["", "with space", "tab\t", "käse", &"k".repeat(256)] {
        assert!(idempotency::Key::new(text).is_err(), "{text}");
    }
}

#[test]
fn fingerprints_tell_apart_where_parts_meet() {
    let account = name::Account::new("a").expect("a name");
    let one = idempotency::Fingerprint::new(Some(&account), "POST", "/ab", b"c");
    let two = idempotency::Fingerprint::new(Some(&account), "POST", "/a", b"bc");
    let open = idempotency::Fingerprint::new(None, "POST", "/ab", b"c");
    assert!(one != two && one != open);
}
