//! The ledger against a naive one that remembers every key for ever.

use std::collections;
use std::sync;
use std::time;

use skylark_core::instant;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::once;
use skylark_core::timestamp;
use skylark_testing as testing;

const START_SECONDS: u64 = 1_765_000_000;

/// Remembers every key for ever.
#[derive(Default)]
struct Naive {
    known: collections::HashMap<String, (once::Print, Option<once::Fate>)>,
}

impl Naive {
    fn expected(&self, key: &once::Key, print: once::Print) -> once::Begin {
        match &self.known[key.as_str()] {
            (first, _) if *first != print => once::Begin::Reused,
            (_, None) => once::Begin::Running,
            (_, Some(once::Fate::Answered(answer))) => {
                once::Begin::Replay(sync::Arc::clone(answer))
            }
            (_, Some(once::Fate::Refused(kind))) => once::Begin::Closed(*kind),
            (_, Some(once::Fate::Lost)) => once::Begin::Unknown,
        }
    }
}

fn ledger(limits: once::Limits) -> once::Ledger {
    once::Ledger::new(
        limits,
        timestamp::Timestamp::from_millis(START_SECONDS * 1_000),
    )
}

fn home(issued: u64) -> once::Home {
    once::Home::new(
        &name::Incarnation::new("kol-ghat-1-4f2a").expect("a name"),
        issued,
    )
}

fn print(text: &str) -> once::Print {
    once::Print::new(None, "POST", "/orders", text.as_bytes())
}

fn answer(size: usize) -> once::Fate {
    once::Fate::Answered(sync::Arc::new(once::Answer {
        target: name::Target::new("target-1").expect("a name"),
        status: 201,
        fields: Vec::new(),
        body: vec![b'x'; size],
    }))
}

#[test]
fn the_ledger_says_what_one_that_never_forgets_says_or_that_it_cannot_know() {
    testing::check(|u| {
        let limits = once::Limits {
            retention: time::Duration::from_mins(4),
            skew: time::Duration::from_mins(1),
            keys: 20,
            answers: 100,
        };
        let mut ledger = ledger(limits);
        let mut naive = Naive::default();
        let mut permits = Vec::new();
        let mut now = instant::Instant::ORIGIN;
        while !u.is_empty() {
            now = now + time::Duration::from_secs(u.int_in_range(0..=40)?);
            let issued = START_SECONDS + u.int_in_range(0..=1_200)?;
            let unique = u.int_in_range(0..=3)?;
            let key = once::Key::new(&format!("{}.{unique}", home(issued / 150 * 150)));
            let key = key.expect("a key");
            let print = print(if u.ratio(1, 6)? { "other" } else { "oars" });
            if u.ratio(1, 4)? && !permits.is_empty() {
                let index = u.choose_index(permits.len())?;
                let (text, permit) = permits.swap_remove(index);
                let fate = match u.int_in_range(0..=2)? {
                    0 => once::Fate::Lost,
                    1 => once::Fate::Refused(kind::ErrorKind::NoTarget),
                    _ => answer(u.int_in_range(0..=60)?),
                };
                ledger.finish(permit, fate.clone());
                naive.known.get_mut(&text).expect("started").1 = Some(fate);
            }
            match ledger.begin(now, &key, print) {
                once::Begin::Start(permit) => {
                    let text = key.as_str().to_owned();
                    let earlier = naive.known.insert(text.clone(), (print, None));
                    assert_eq!(earlier, None, "{text} started twice");
                    permits.push((text, permit));
                }
                once::Begin::Expired | once::Begin::Stored | once::Begin::Full => {}
                other => assert_eq!(other, naive.expected(&key, print)),
            }
            assert!(ledger.len() <= limits.keys);
        }
        Ok(())
    });
}

#[test]
fn a_forgotten_key_is_never_fit_to_start() {
    let mut ledger = ledger(once::Limits::default());
    let key = once::Key::new(&format!("{}.1", home(START_SECONDS))).expect("a key");
    let mut now = instant::Instant::ORIGIN;
    assert!(matches!(
        ledger.begin(now, &key, print("oars")),
        once::Begin::Start(_)
    ));
    for _ in 0..120 {
        now = now + time::Duration::from_secs(20);
        let begin = ledger.begin(now, &key, print("oars"));
        assert!(matches!(begin, once::Begin::Running | once::Begin::Expired));
    }
    assert!(ledger.is_empty());
}

#[test]
fn a_key_from_ahead_of_the_home_s_clock_is_not_called_not_run() {
    let mut ledger = ledger(once::Limits::default());
    let key = once::Key::new(&format!("{}.1", home(START_SECONDS + 600))).expect("a key");
    let begin = ledger.begin(instant::Instant::ORIGIN, &key, print("oars"));
    assert_eq!(begin, once::Begin::Expired);
    let (_kind, outcome) = begin.refusal().expect("a refusal");
    assert_eq!(outcome, kind::Outcome::Unknown);
}

#[test]
fn a_leaving_home_starts_nothing_and_ends_its_copy_when_idle() {
    let mut ledger = ledger(once::Limits::default());
    let key = |unique| once::Key::new(&format!("{}.{unique}", home(START_SECONDS))).expect("a key");
    let now = instant::Instant::ORIGIN;
    let once::Begin::Start(permit) = ledger.begin(now, &key(1), print("oars")) else {
        panic!("a new key starts");
    };
    ledger.leave();
    let begin = ledger.begin(now, &key(2), print("oars"));
    assert_eq!(begin, once::Begin::Closed(kind::ErrorKind::Leaving));
    assert_eq!(ledger.end(), None);
    let entry = ledger.finish(permit, answer(3)).expect("an entry");
    let end = ledger.end();
    assert!(end.is_some());
    let pages = [once::Page {
        entries: vec![entry],
    }];
    let told = once::recall(&key(1), print("oars"), &pages, end);
    assert!(matches!(told, Some(once::Begin::Replay(_))));
    let told = once::recall(&key(2), print("oars"), &pages, end);
    assert_eq!(told, Some(once::Begin::Closed(kind::ErrorKind::Leaving)));
    assert_eq!(once::recall(&key(2), print("oars"), &pages, None), None);
}

#[test]
fn answers_past_the_bound_leave_memory_but_stay_known() {
    let limits = once::Limits {
        answers: 50,
        ..once::Limits::default()
    };
    let mut ledger = ledger(limits);
    let key = |unique| once::Key::new(&format!("{}.{unique}", home(START_SECONDS))).expect("a key");
    let now = instant::Instant::ORIGIN;
    for unique in 0..3 {
        let once::Begin::Start(permit) = ledger.begin(now, &key(unique), print("oars")) else {
            panic!("a new key starts");
        };
        assert!(ledger.finish(permit, answer(30)).is_some());
    }
    assert_eq!(
        ledger.begin(now, &key(0), print("oars")),
        once::Begin::Stored
    );
    assert!(matches!(
        ledger.begin(now, &key(2), print("oars")),
        once::Begin::Replay(_)
    ));
}

#[test]
fn a_key_names_its_home_only_in_the_form_of_a_look_up() {
    let named = once::Key::new("kol-ghat-1-4f2a.t1765000000.9c1e").expect("a key");
    assert_eq!(named.home(), Some(&home(1_765_000_000)));
    for text in [
        "order-77",
        "a.b.c",
        "kol-ghat-1.tx5.9c1e",
        "kol-ghat-1.t+5.9c1e",
        "K.t5.9",
    ] {
        assert_eq!(once::Key::new(text).expect("a key").home(), None, "{text}");
    }
    for text in ["", "with space", "tab\t", "käse", &"k".repeat(256)] {
        assert!(once::Key::new(text).is_err(), "{text}");
    }
}

#[test]
fn fingerprints_tell_apart_where_parts_meet() {
    let account = name::Account::new("a").expect("a name");
    let one = once::Print::new(Some(&account), "POST", "/ab", b"c");
    let two = once::Print::new(Some(&account), "POST", "/a", b"bc");
    let open = once::Print::new(None, "POST", "/ab", b"c");
    assert!(one != two && one != open);
}
