//! Text tables with aligned columns.

use std::io::Write as _;

use super::error;

/// Prints a heading and rows with aligned columns, or nothing when there are no rows.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn print(heading: &[&str], rows: &[Vec<String>]) -> error::Result<()> {
    if rows.is_empty() {
        return Ok(());
    }
    let heading: Vec<String> = heading.iter().map(|cell| cell.to_uppercase()).collect();
    let widths: Vec<usize> = (0..heading.len())
        .map(|column| {
            let cells = rows.iter().chain([&heading]);
            cells
                .filter_map(|row| row.get(column))
                .map(|cell| display_width(cell))
                .max()
                .unwrap_or(0)
        })
        .collect();
    let mut out = anstream::stdout().lock();
    for row in [&heading].into_iter().chain(rows) {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, column)| format!("{cell}{}", " ".repeat(column - display_width(cell))))
            .collect();
        writeln!(out, "{}", line.join("  ").trim_end())?;
    }
    Ok(())
}

/// Returns the number of visible characters of a cell, without escape sequences.
fn display_width(cell: &str) -> usize {
    let visible = anstream::adapter::strip_str(cell).to_string();
    visible.chars().count()
}

/// Formats a value for display: strings without quotes, other values as JSON.
#[must_use]
pub fn format_value(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
