//! Output for people and programs, coloured only on a terminal.

use std::io::Write as _;

use super::error;

/// Style of what is wrong.
pub const BAD: anstyle::Style = anstyle::AnsiColor::Red.on_default().bold();
/// Style of what deserves a look.
pub const WARN: anstyle::Style = anstyle::AnsiColor::Yellow.on_default();
/// Style of what is as it should be.
pub const GOOD: anstyle::Style = anstyle::AnsiColor::Green.on_default();

/// Wraps a text in a style, which is left out where the output is no terminal.
pub fn styled(style: anstyle::Style, text: &str) -> String {
    format!("{style}{text}{style:#}")
}

/// Prints one line of progress to standard error.
pub fn progress(line: &str) {
    anstream::eprintln!("{line}");
}

/// Returns a count of records in words.
pub fn records(count: usize) -> String {
    match count {
        1 => "1 record".to_owned(),
        _ => format!("{count} records"),
    }
}

#[derive(serde::Serialize)]
struct Failure<'a> {
    error: String,
    code: u8,
    faults: &'a [super::Fault],
}

/// Prints why a command failed to standard error.
pub fn failure(error: &error::Error, is_json: bool) {
    let faults = error.faults();
    if is_json {
        let failure = Failure {
            error: error.to_string(),
            code: error.exit_code(),
            faults,
        };
        let text = serde_json::to_string(&failure).unwrap_or_default();
        let _unwritable = writeln!(anstream::stderr(), "{text}");
        return;
    }
    let label = styled(BAD, "error:");
    if faults.is_empty() {
        anstream::eprintln!("{label} {error}");
    }
    for fault in faults {
        anstream::eprintln!("{label} {fault}");
    }
}
