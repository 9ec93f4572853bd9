//! The command line shows, compares and reports, and its exit codes tell programs what happened.

use std::fs;
use std::sync::atomic;
use std::thread;
use std::time;

use super::common;
use super::common::Platform;
use skylark_core::decision;
use skylark_core::kind;
use skylark_core::name;
use skylark_core::steer;
use skylark_core::timestamp;
use skylark_core::unit;

const BEAT: time::Duration = time::Duration::from_millis(50);

fn applied() -> Platform {
    let platform = Platform::start();
    let files = common::example("board");
    let run = platform.run(&common::on_example("apply", &files));
    assert_eq!(run.code, Some(0), "{run:?}");
    platform
}

fn written(folder: &tempfile::TempDir, name: &str, text: &str) -> String {
    let path = folder.path().join(name);
    fs::write(&path, text).expect("a file is written");
    path.to_str().expect("a path in UTF-8").to_owned()
}

#[test]
fn all_faults_of_all_files_come_at_once_and_nothing_is_applied() {
    let folder = tempfile::tempdir().expect("a folder");
    let one = "schema: 1\naccount: {name: a, rate: 1/s, brust: 3}\n---\nschema: 1\n\
               key: {name: k, account: ghat-mastres, digest: 7}\n";
    let two = "schema: 1\ntarget:\n  name: t\n  service: timber-leger\n  zone: kol-ghat\n  \
               address: 127.0.0.1:1\n  slots: 2\n  connections: 2\n---\nschema: 3\naccount: {}\n";
    let (one, two) = (
        written(&folder, "one.yaml", one),
        written(&folder, "two.yaml", two),
    );
    let platform = applied();
    let run = platform.run(&["apply", &one, &two]);
    assert_eq!(run.code, Some(3), "{run:?}");
    for fault in [
        format!("{one}:2: account.brust: unknown field: did you mean 'burst'?"),
        format!("{one}:5: key.digest: not allowed"),
        format!("{two}:4: target.service: no record describes service 'timber-leger'"),
        format!("{two}:10: schema: 3 is too new: this build reads schema 1 to 2"),
    ] {
        assert!(run.err.contains(&fault), "{fault} in {}", run.err);
    }
    assert!(
        run.err.contains("did you mean 'timber-ledger'?"),
        "{}",
        run.err
    );
    assert_eq!(platform.state().commits, 1);
    let json = common::run(&["check", &one, "--json"]);
    assert_eq!(json.code, Some(3));
    let failure: serde_json::Value = serde_json::from_str(&json.err).expect("JSON");
    assert_eq!(failure["code"], 3);
    assert_eq!(failure["faults"][0]["line"], 2);
    assert_eq!(failure["faults"][0]["field"], "account.brust");
}

#[test]
fn a_dry_run_and_a_diff_show_each_field_and_write_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let platform = applied();
    let text = "schema: 2\naccount: {name: ghat-masters, rate: 700/s, burst: 1200, class: batch}\n\
                ---\nschema: 1\naccount: {name: new-club, rate: 5/s, burst: 5}\n";
    let file = written(&folder, "change.yaml", text);
    let dry = platform.run(&["apply", "--dry-run", &file]);
    assert_eq!(dry.code, Some(0), "{dry:?}");
    for line in [
        "rate: 600/s -> 700/s",
        "class: none -> batch",
        "+ account/new-club",
    ] {
        assert!(dry.out.contains(line), "{dry:?}");
    }
    assert!(
        !dry.out.contains('\u{1b}'),
        "no colour off a terminal: {dry:?}"
    );
    let diff = platform.run(&["diff", &file, "--json"]);
    assert_eq!(diff.code, Some(1), "{diff:?}");
    let differences: serde_json::Value = serde_json::from_str(&diff.out).expect("JSON");
    assert_eq!(differences[0]["record"], "account/ghat-masters");
    assert_eq!(differences[0]["change"], "changed");
    assert_eq!(platform.state().commits, 1);
    let files = common::example("board");
    let same = platform.run(&common::on_example("diff", &files));
    assert_eq!(same.code, Some(0), "{same:?}");
}

#[test]
fn what_get_prints_as_yaml_is_applied_again_without_a_change() {
    let platform = applied();
    let folder = tempfile::tempdir().expect("a folder");
    let drain = platform.run(&["drain", "zone", "kol-ghat"]);
    assert_eq!(drain.code, Some(0), "{drain:?}");
    let yaml = platform.run(&["get", "--yaml"]);
    let file = written(&folder, "all.yaml", &yaml.out);
    let again = platform.run(&["apply", &file]);
    assert_eq!(again.code, Some(0), "{again:?}");
    assert_eq!(platform.state().commits, 2);
    let one = platform
        .run(&["get", "policy", "deployment", "--json"])
        .json();
    assert_eq!(one[0]["policy"]["shortage"], "ask");
}

#[test]
fn mistyped_words_get_a_suggestion_and_an_exit_code() {
    let platform = applied();
    for (arguments, code, hint) in [
        (vec!["aply", "x"], 2, "did you mean 'apply'?"),
        (vec!["get", "acount"], 2, "did you mean 'account'?"),
        (
            vec!["get", "account", "ghat-mastrs"],
            7,
            "'account/ghat-masters'?",
        ),
        (vec!["drain", "zoen", "x"], 2, "did you mean 'zone'?"),
        (
            vec!["drain", "zone", "kol-gat"],
            3,
            "did you mean 'kol-ghat'?",
        ),
        (
            vec!["remove", "account/ghat-mastrs"],
            7,
            "'account/ghat-masters'?",
        ),
        (
            vec!["key", "issue", "k", "--account", "ghat-mastrs"],
            3,
            "'ghat-masters'?",
        ),
        (
            vec!["shift", "order-desk", "--from", "khulna", "--to", "kolkata"],
            2,
            "--part",
        ),
        (
            vec!["remove", "region/khulna"],
            3,
            "no record describes region 'khulna'",
        ),
        (vec!["replay"], 2, "--all"),
        (vec!["replay", "r9"], 7, "no decision record"),
        (vec!["check", "/nowhere/x.yaml"], 3, "cannot be read"),
        (vec!["check"], 2, "at least one file"),
    ] {
        let run = platform.run(&arguments);
        assert_eq!(run.code, Some(code), "{arguments:?} {run:?}");
        assert!(run.err.contains(hint), "{arguments:?} {run:?}");
    }
    assert_eq!(platform.state().commits, 1);
    let nowhere = common::run(&["get", "--platform", "http://127.0.0.1:9"]);
    assert_eq!(nowhere.code, Some(5), "{nowhere:?}");
    let unnamed = common::run(&["get"]);
    assert_eq!(unnamed.code, Some(2), "{unnamed:?}");
    for flag in ["--version", "--help"] {
        assert_eq!(common::run(&[flag]).code, Some(0));
        assert_eq!(common::run(&["key", "issue", flag]).code, Some(0));
    }
}

#[test]
fn a_shift_is_recorded_and_ended() {
    let platform = applied();
    let names = ["order-desk", "--from", "khulna", "--to", "kolkata"];
    let shift = [&["shift"][..], &names, &["--part", "50%", "--cap", "40/s"]].concat();
    let run = platform.run(&shift);
    assert_eq!(run.code, Some(0), "{run:?}");
    let key = "record/shift/order-desk-khulna-kolkata";
    assert_eq!(platform.state().rows[key].value["shift"]["cap"], "40/s");
    let run = platform.run(&[&["shift"][..], &names, &["--undo"]].concat());
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(!platform.state().rows.contains_key(key));
}

const ZONE_ROW: &str = "zone/kol-ghat";

fn heartbeat(version: u64) -> serde_json::Value {
    let report = serde_json::json!({"incarnation": "h1-1", "generation": 1, "version": version});
    serde_json::json!({"report": report, "oldest": version, "serial": 1, "count": 1})
}

/// Puts a roster with one member, and a list of its zone's hosts.
fn man(platform: &Platform) {
    let member = serde_json::json!(
        {"incarnation": "h1-1", "host": "h1", "zone": "kol-ghat", "steer": "127.0.0.1:1"}
    );
    let roster = serde_json::json!(
        {"generation": 1, "floor": 1, "members": [member], "past": []}
    );
    let host = serde_json::json!(
        {"host": "h1", "incarnation": "h1-1", "zone": "kol-ghat", "phase": "serving"}
    );
    let mut state = platform.state();
    state.put("roster", roster);
    state.put("hosts/kol-ghat", serde_json::json!({"hosts": [host]}));
    state.put(ZONE_ROW, heartbeat(1));
}

/// Runs commands while the heartbeat of a zone with a version in force rises.
fn beating<T>(platform: &Platform, version: u64, work: impl FnOnce() -> T) -> T {
    let is_done = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_done.load(atomic::Ordering::Relaxed) {
                platform.state().put(ZONE_ROW, heartbeat(version));
                thread::sleep(BEAT);
            }
        });
        let result = work();
        is_done.store(true, atomic::Ordering::Relaxed);
        result
    })
}

#[test]
fn a_change_waits_until_it_is_in_force_in_every_zone_that_is_heard() {
    let platform = applied();
    man(&platform);
    let drain = ["drain", "zone", "kol-ghat", "--wait", "1s"];
    let run = beating(&platform, 1, || platform.run(&drain));
    assert_eq!(run.code, Some(8), "{run:?}");
    assert!(run.out.contains("version 2 is written"), "{run:?}");
    assert!(run.err.contains("not yet in kol-ghat"), "{run:?}");
    assert!(run.err.contains("not yet accepted"), "{run:?}");
    assert!(
        platform
            .state()
            .rows
            .contains_key("record/drain/zone-kol-ghat")
    );
    let unwaited = platform.run(&["drain", "zone", "kol-ghat", "--undo", "--wait", "0s"]);
    assert_eq!(unwaited.code, Some(0), "{unwaited:?}");
    assert!(
        unwaited.out.contains("version 3 is written"),
        "{unwaited:?}"
    );
    let (run, status) = beating(&platform, 4, || {
        let run = platform.run(&["drain", "zone", "kol-ghat", "--wait", "20s"]);
        (run, platform.run(&["status", "--json"]))
    });
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(run.out.contains("version 4 is in force"), "{run:?}");
    let status = status.json();
    assert_eq!(status["zones"][0]["version"], 4);
    assert_eq!(status["zones"][0]["is_heard"], true);
    assert_eq!(status["hosts"][0]["host"], "h1");
}

#[test]
fn a_silent_zone_is_named_and_the_change_does_not_count_as_accepted_without_it() {
    let platform = applied();
    man(&platform);
    let run = platform.run(&["drain", "zone", "kol-ghat", "--wait", "9s"]);
    assert_eq!(run.code, Some(8), "{run:?}");
    assert!(
        run.err.contains("silent: availability zone kol-ghat"),
        "{run:?}"
    );
    let empty = serde_json::json!({"generation": 2, "floor": 2, "members": [], "past": []});
    platform.state().put("roster", empty);
    let run = platform.run(&["drain", "zone", "kol-ghat", "--wait", "20s"]);
    assert_eq!(run.code, Some(0), "{run:?}");
    assert!(
        run.err.contains("silent: availability zone kol-ghat"),
        "{run:?}"
    );
}

fn refusal(id: &str, version: u64, account: &str) -> decision::Decision {
    let id = name::Request::new(id).expect("a name");
    let kind = kind::ErrorKind::OverRate;
    decision::Decision {
        schema: 1,
        seed: steer::Seed::of(&id),
        id,
        at: timestamp::Timestamp::from_millis(1_000),
        host: name::Host::new("h1").expect("a name"),
        incarnation: name::Incarnation::new("h1-1").expect("a name"),
        version: unit::Version::new(version),
        plan: None,
        service: Some(name::Service::new("order-desk").expect("a name")),
        account: Some(name::Account::new(account).expect("a name")),
        deadline: Some(2_000_000),
        steps: vec![decision::Step::Check { kind }],
        verdict: decision::Verdict::Refused {
            kind,
            outcome: kind.answer().outcome,
        },
        latency: 50,
        digest: decision::Digest::NONE,
    }
    .with_digest()
}

fn store(platform: &Platform, object: &str, decisions: &[decision::Decision]) {
    let body = serde_json::to_vec(decisions).expect("JSON");
    let key = format!("decisions/h1-1/{object}");
    platform.state().objects.insert(key, body);
}

#[test]
fn decisions_are_replayed_with_the_records_of_their_own_version() {
    let platform = applied();
    let folder = tempfile::tempdir().expect("a folder");
    store(&platform, "1", &[refusal("r1", 1, "ghat-masters")]);
    let club = written(
        &folder,
        "club.yaml",
        "schema: 1\naccount: {name: new-club, rate: 5/s, burst: 5}\n",
    );
    let run = platform.run(&["apply", &club]);
    assert_eq!(run.code, Some(0), "{run:?}");
    store(&platform, "2", &[refusal("r2", 2, "new-club")]);
    for id in ["r1", "r2"] {
        let run = platform.run(&["replay", id]);
        assert_eq!(run.code, Some(0), "{run:?}");
        assert!(run.out.contains("comes out as recorded"), "{run:?}");
    }
    assert_eq!(
        platform.run(&["replay", "--all", "--json"]).json()["replayed"],
        2
    );
    store(&platform, "3", &[refusal("r3", 1, "new-club")]);
    let unknown = platform.run(&["replay", "r3"]);
    assert_eq!(unknown.code, Some(1), "{unknown:?}");
    assert!(
        unknown.out.contains("'new-club' is in no record"),
        "{unknown:?}"
    );
    let mut changed = refusal("r4", 1, "ghat-masters");
    changed.latency += 1;
    store(&platform, "3", &[changed]);
    let run = platform.run(&["replay", "--all"]);
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.out.contains("the digest does not fit"), "{run:?}");
    assert!(run.out.contains("2 of 3 decisions"), "{run:?}");
}

#[test]
fn the_burn_report_names_the_worst_served_account_and_draws_its_page() {
    let platform = applied();
    let folder = tempfile::tempdir().expect("a folder");
    let page = folder.path().join("burn.html");
    let page = page.to_str().expect("a path in UTF-8");
    let empty = platform.run(&["burn", "--html", page]);
    assert_eq!(empty.code, Some(0), "{empty:?}");
    let wrongful = refusal("r1", 1, "taki-rowing-club");
    let mut good = refusal("r2", 1, "ghat-masters");
    good.verdict = decision::Verdict::Served {
        target: name::Target::new("order-desk-kol-ghat-1").expect("a name"),
        status: 200,
    };
    store(&platform, "1", &[good, wrongful]);
    let report = platform.run(&["burn", "--json"]).json();
    let rows = report["rows"].as_array().expect("rows");
    let accounts: Vec<&serde_json::Value> = rows.iter().map(|row| &row["account"]).collect();
    assert_eq!(accounts, ["taki-rowing-club", "ghat-masters"]);
    assert_eq!(rows[0]["count"]["refused"], 1);
    let run = platform.run(&["burn", "--html", page]);
    assert!(run.out.contains("taki-rowing-club"), "{run:?}");
    let html = fs::read_to_string(page).expect("a page");
    assert_eq!(html.matches("<svg").count(), 2);
    assert!(html.contains("taki-rowing-club / order-desk"));
    for outside in ["src=", "href=", "@import", "url("] {
        assert!(!html.contains(outside), "{outside}");
    }
}
