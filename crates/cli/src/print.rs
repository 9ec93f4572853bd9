//! Messages for the operator, coloured only on a terminal.

use std::io::Write as _;

use super::error;

/// Style of errors and failed states.
pub const ERROR: anstyle::Style = anstyle::AnsiColor::Red.on_default().bold();
/// Style of warnings.
pub const WARNING: anstyle::Style = anstyle::AnsiColor::Yellow.on_default();
/// Style of healthy states and added records.
pub const SUCCESS: anstyle::Style = anstyle::AnsiColor::Green.on_default();

/// Wraps a text in a style; the writers of `anstream` strip it when there is no terminal.
pub fn styled(style: anstyle::Style, text: &str) -> String {
    format!("{style}{text}{style:#}")
}

/// Prints one line to standard error.
pub fn progress(line: &str) {
    anstream::eprintln!("{line}");
}

/// Prints a warning to standard error.
pub fn warning(text: &str) {
    anstream::eprintln!("{} {text}", styled(WARNING, "warning:"));
}

/// Returns a number of records as text, such as `2 records`.
pub fn record_count(count: usize) -> String {
    match count {
        1 => "1 record".to_owned(),
        _ => format!("{count} records"),
    }
}

#[derive(serde::Serialize)]
struct Failure<'a> {
    error: String,
    code: u8,
    #[serde(rename = "faults")]
    diagnostics: &'a [super::Diagnostic],
}

/// Prints the error of a failed command to standard error, as text or JSON.
pub fn failure(error: &error::Error, is_json: bool) {
    let diagnostics = error.diagnostics();
    if is_json {
        let failure = Failure {
            error: error.to_string(),
            code: error.exit_code(),
            diagnostics,
        };
        let text = serde_json::to_string(&failure).unwrap_or_default();
        let _ignored = writeln!(anstream::stderr(), "{text}");
        return;
    }
    let label = styled(ERROR, "error:");
    if diagnostics.is_empty() {
        anstream::eprintln!("{label} {error}");
    }
    for diagnostic in diagnostics {
        anstream::eprintln!("{label} {diagnostic}");
    }
}
