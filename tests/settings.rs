//! Each daemon accepts its commented example of settings and refuses a changed one.

use std::fs;
use std::process;

const DAEMONS: [(&str, &str); 3] = [
    ("entry", env!("CARGO_BIN_EXE_skylark-entry")),
    ("lookup", env!("CARGO_BIN_EXE_skylark-lookup")),
    ("steer", env!("CARGO_BIN_EXE_skylark-steer")),
];

fn example(daemon: &str) -> String {
    let root = env!("CARGO_MANIFEST_DIR");
    let path = format!("{root}/examples/settings/{daemon}.yaml");
    fs::read_to_string(path).expect("the example is read")
}

fn check(program: &str, text: &str) -> process::Output {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.yaml");
    fs::write(&path, text).expect("settings are written");
    let mut command = process::Command::new(program);
    command.arg(&path).arg("--check");
    command.output().expect("the daemon runs")
}

#[test]
fn each_example_is_accepted() {
    for (daemon, program) in DAEMONS {
        let output = check(program, &example(daemon));
        assert!(output.status.success(), "{daemon}: {output:?}");
    }
}

#[test]
fn a_mistake_is_refused_with_file_line_and_field() {
    for (daemon, program) in DAEMONS {
        for (good, bad, field) in [
            ("zone: kol-ghat", "zone: Kol Ghat", "zone"),
            ("threads:", "thread:", "thread"),
            ("admin: 127.10.1.201", "admin: 127.10.1", "admin"),
        ] {
            let text = example(daemon).replacen(good, bad, 1);
            assert_ne!(text, example(daemon), "{daemon}: {good}");
            let output = check(program, &text);
            let said = String::from_utf8_lossy(&output.stderr);
            assert!(!output.status.success(), "{daemon}: {bad}");
            for part in ["settings.yaml", "line ", field] {
                assert!(said.contains(part), "{daemon}: {bad}: {said}");
            }
        }
    }
}

#[test]
fn no_threads_are_refused_and_not_met_with_a_panic() {
    for (daemon, program) in DAEMONS {
        let example = example(daemon);
        let lines = example.lines().filter(|line| !line.starts_with("threads:"));
        let text: String = lines
            .chain(["threads: 0"])
            .flat_map(|line| [line, "\n"])
            .collect();
        let output = check(program, &text);
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{daemon}");
        assert!(
            said.contains("threads") && !said.contains("panicked"),
            "{daemon}: {said}"
        );
    }
}

#[test]
fn each_daemon_tells_its_version_and_asks_for_settings() {
    for (daemon, program) in DAEMONS {
        let mut command = process::Command::new(program);
        let output = command.arg("--version").output().expect("the daemon runs");
        let said = String::from_utf8_lossy(&output.stdout);
        assert_eq!(
            said,
            format!("skylark-{daemon} {}\n", env!("CARGO_PKG_VERSION"))
        );
        let output = process::Command::new(program)
            .output()
            .expect("the daemon runs");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && said.contains("settings file"),
            "{daemon}: {said}"
        );
    }
}
