//! Heading, columns and cells of the report as text.

use skylark_core::burn;

/// Column names, in the order of the cells that [`rows`] returns.
pub const COLUMNS: [&str; 13] = [
    "account",
    "service",
    "objective",
    "requests",
    "late",
    "failed",
    "wrongful",
    "over rate",
    "spent",
    "short",
    "long",
    "p50",
    "p99",
];

/// Returns one line with the period and the windows of the report.
pub fn heading(report: &burn::Report) -> String {
    if report.rows.is_empty() {
        return "No decision records of any service".to_owned();
    }
    format!(
        "Requests from {} to {}; burn rates over {} and {}; the worst served first",
        report.from, report.to, report.windows.short, report.windows.long
    )
}

/// Returns the cells of all rows of the report.
pub fn rows(report: &burn::Report) -> Vec<Vec<String>> {
    report.rows.iter().map(row).collect()
}

fn row(row: &burn::Row) -> Vec<String> {
    vec![
        account(row),
        row.service.to_string(),
        format!("{} in {}", row.objective, row.within),
        (row.count.total() + row.count.excluded).to_string(),
        row.count.late.to_string(),
        row.count.failed.to_string(),
        row.count.refused.to_string(),
        row.count.excluded.to_string(),
        format!("{:.1}%", row.spent * 100.0),
        format!("{:.2}", row.short),
        format!("{:.2}", row.long),
        format_millis(row.latency.p50),
        format_millis(row.latency.p99),
    ]
}

/// Returns the client account of a row, or a placeholder for routes open to all callers.
pub fn account(row: &burn::Row) -> String {
    match &row.account {
        Some(name) => name.to_string(),
        None => "(open to all)".to_owned(),
    }
}

/// Formats microseconds as milliseconds with one decimal.
fn format_millis(micros: u64) -> String {
    format!("{}.{:01} ms", micros / 1_000, micros % 1_000 / 100)
}
