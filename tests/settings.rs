//! Each daemon accepts its example settings file and refuses invalid ones.

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
    fs::read_to_string(path).expect("the example is readable")
}

/// Runs a daemon with `--check` on a settings file.
fn check(program: &str, text: &str) -> process::Output {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let path = folder.path().join("settings.yaml");
    fs::write(&path, text).expect("settings are written");
    let mut command = process::Command::new(program);
    command.arg(&path).arg("--check");
    command.output().expect("the daemon runs")
}

#[test]
fn each_example_settings_file_is_accepted() {
    for (daemon, program) in DAEMONS {
        let output = check(program, &example(daemon));
        assert!(output.status.success(), "{daemon}: {output:?}");
    }
}

#[test]
fn an_invalid_setting_is_reported_with_file_line_and_field() {
    for (daemon, program) in DAEMONS {
        for (valid, invalid, field) in [
            ("zone: kol-ghat", "zone: Kol Ghat", "zone"),
            ("threads:", "thread:", "thread"),
            ("admin: 127.10.1.201", "admin: 127.10.1", "admin"),
        ] {
            let text = example(daemon).replacen(valid, invalid, 1);
            assert_ne!(text, example(daemon), "{daemon}: {valid}");
            let output = check(program, &text);
            let message = String::from_utf8_lossy(&output.stderr);
            assert!(!output.status.success(), "{daemon}: {invalid}");
            for part in ["settings.yaml", "line ", field] {
                assert!(message.contains(part), "{daemon}: {invalid}: {message}");
            }
        }
    }
}

#[test]
fn zero_threads_are_refused_without_a_panic() {
    for (daemon, program) in DAEMONS {
        let example = example(daemon);
        let lines = example.lines().filter(|line| !line.starts_with("threads:"));
        let text: String = lines
            .chain(["threads: 0"])
            .flat_map(|line| [line, "\n"])
            .collect();
        let output = check(program, &text);
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{daemon}");
        assert!(
            message.contains("threads") && !message.contains("panicked"),
            "{daemon}: {message}"
        );
    }
}

#[test]
fn each_daemon_prints_its_version_and_requires_a_settings_file() {
    for (daemon, program) in DAEMONS {
        let mut command = process::Command::new(program);
        let output = command.arg("--version").output().expect("the daemon runs");
        let message = String::from_utf8_lossy(&output.stdout);
        assert_eq!(
            message,
            format!("skylark-{daemon} {}\n", env!("CARGO_PKG_VERSION"))
        );
        let output = process::Command::new(program)
            .output()
            .expect("the daemon runs");
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && message.contains("settings file"),
            "{daemon}: {message}"
        );
    }
}
