//! Tables for people.

use std::io::Write as _;

use super::error;

/// Prints a heading and rows with aligned columns, and nothing without rows.
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
                .map(|cell| width(cell))
                .max()
                .unwrap_or(0)
        })
        .collect();
    let mut out = anstream::stdout().lock();
    for row in [&heading].into_iter().chain(rows) {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, column)| format!("{cell}{}", " ".repeat(column - width(cell))))
            .collect();
        writeln!(out, "{}", line.join("  ").trim_end())?;
    }
    Ok(())
}

/// Returns the characters that a terminal shows of a cell, without its styles.
fn width(cell: &str) -> usize {
    let shown = anstream::adapter::strip_str(cell).to_string();
    shown.chars().count()
}

/// Returns a value as people read it: text without quotes, other values as JSON.
#[must_use]
pub fn plain(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
