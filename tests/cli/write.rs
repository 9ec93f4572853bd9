//! The command line writes records once, also when operators race and answers are lost.

use super::common;
use super::common::{Fault, Platform};

const HEAD: &str = "head";

fn applied(deployment: &str) -> Platform {
    let platform = Platform::start();
    let files = common::example(deployment);
    let run = platform.run(&common::on_example("apply", &files));
    assert_eq!(run.code, Some(0), "{run:?}");
    platform
}

fn version(platform: &Platform) -> serde_json::Value {
    platform.state().rows[HEAD].value["version"].clone()
}

#[test]
fn both_deployments_are_applied_whole_and_a_second_time_change_nothing() {
    for (deployment, records) in [("board", 54), ("mwakyusa", 56)] {
        let platform = applied(deployment);
        let stored = platform
            .state()
            .rows
            .keys()
            .filter(|key| key.starts_with("record/"))
            .count();
        assert_eq!(stored, records, "{deployment}");
        let files = common::example(deployment);
        let again = platform.run(&common::on_example("apply", &files));
        assert_eq!(again.code, Some(0), "{again:?}");
        assert_eq!(version(&platform), 1);
        assert_eq!(platform.state().commits, 1);
    }
}

#[test]
fn a_lost_answer_is_read_back_and_never_written_again() {
    let platform = Platform::start();
    platform.state().fault = Fault::LoseAnswer;
    let files = common::example("board");
    let run = platform.run(&common::on_example("apply", &files));
    assert_eq!(run.code, Some(0), "{run:?}");
    assert_eq!(platform.state().commits, 1);
    assert_eq!(version(&platform), 1);
}

#[test]
fn a_lost_write_is_reported_as_unknown_and_not_repeated() {
    let platform = applied("board");
    platform.state().fault = Fault::LoseCommit;
    let run = platform.run(&["key", "issue", "ghat", "--account", "ghat-masters"]);
    assert_eq!(run.code, Some(6), "{run:?}");
    assert_eq!(run.out, "");
    assert_eq!(platform.state().commits, 2);
}

#[test]
fn the_loser_of_a_race_gets_a_conflict_and_writes_nothing() {
    let platform = applied("board");
    platform.state().fault = Fault::Race;
    let run = platform.run(&["drain", "zone", "kol-ghat"]);
    assert_eq!(run.code, Some(4), "{run:?}");
    assert!(
        run.err.contains("another change was accepted first"),
        "{run:?}"
    );
    assert!(
        !platform
            .state()
            .rows
            .contains_key("record/drain/zone-kol-ghat")
    );
    assert_eq!(version(&platform), 2);
}

#[test]
fn a_secret_is_printed_once_and_never_stored() {
    let platform = applied("board");
    let issue = [
        "--json",
        "key",
        "issue",
        "ghat",
        "--account",
        "ghat-masters",
    ];
    let issued = platform.run(&issue).json();
    let secret = issued["secret"].as_str().expect("a secret is printed");
    let stored = format!("{:?}", platform.state().rows);
    assert!(!stored.contains(secret));
    let key = skylark_core::secret::Secret::new(secret);
    assert!(stored.contains(&String::from(key.digest())));
    let again = platform.run(&issue);
    assert_eq!(again.code, Some(2), "{again:?}");
    let withdrawn = platform.run(&["key", "withdraw", "ghat"]);
    assert_eq!(withdrawn.code, Some(0), "{withdrawn:?}");
    let row = platform.state().rows["record/key/ghat"].clone();
    assert_eq!(row.value["key"]["state"], "withdrawn");
    let unknown = platform.run(&["key", "withdraw", "ghost"]);
    assert_eq!(unknown.code, Some(7), "{unknown:?}");
}

#[test]
fn a_drain_is_recorded_and_ended() {
    let platform = applied("mwakyusa");
    for (kind, name) in [
        ("target", "katalogi-pwani-a-1"),
        ("zone", "pwani-a"),
        ("host", "h1"),
    ] {
        let key = format!("record/drain/{kind}-{name}");
        let drain = platform.run(&["drain", kind, name]);
        assert_eq!(drain.code, Some(0), "{drain:?}");
        assert!(platform.state().rows.contains_key(&key));
        let undo = platform.run(&["drain", kind, name, "--undo"]);
        assert_eq!(undo.code, Some(0), "{undo:?}");
        assert!(!platform.state().rows.contains_key(&key));
    }
}
