//! HTML page of the report, self-contained so that it can be passed on as one file.

use std::fmt;
use std::fmt::Write as _;

use skylark_core::burn;
use skylark_core::timestamp;

use super::plot;
use super::text;
use crate::error;

const STYLE: &str = "
body { font: 14px/1.4 system-ui, sans-serif; margin: 2rem auto; max-width: 78rem; padding: 0 1rem; color: #1b1f24; }
h1 { font-size: 1.5rem; margin: 0; }
h2 { font-size: 1.1rem; margin: 2rem 0 .5rem; }
p { color: #57606a; margin: .25rem 0; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .2rem .4rem; border-bottom: 1px solid #d8dee4; white-space: nowrap; }
th { font-weight: 600; color: #57606a; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
table { font-size: 13px; }
tr.missed td { background: #ffebe9; }
svg { max-width: 100%; height: auto; }
";

/// Renders the report as an HTML page with its plots.
///
/// # Errors
///
/// Fails when a plot cannot be drawn.
pub fn render(report: &burn::Report, now: timestamp::Timestamp) -> error::Result<String> {
    let mut page = String::new();
    write_table(&mut page, report, now).map_err(|error| error::Error::Plot(error.to_string()))?;
    if !report.rows.is_empty() {
        page.push_str("<h2>Burn rate of each service over time</h2>\n");
        page.push_str("<p>At 1 the error budget is used up as fast as it accrues.</p>\n");
        page.push_str(&plot::burn(report)?);
        page.push_str("<h2>Latency of each client account</h2>\n");
        page.push_str(
            "<p>Bars reach from the median to the 99th percentile; \
             the red mark is the objective.</p>\n",
        );
        page.push_str(&plot::latency(report)?);
    }
    page.push_str("</body>\n</html>\n");
    Ok(page)
}

fn write_table(page: &mut String, report: &burn::Report, now: timestamp::Timestamp) -> fmt::Result {
    writeln!(page, "<!DOCTYPE html>\n<html lang=\"en\">\n<head>")?;
    writeln!(
        page,
        "<meta charset=\"utf-8\">\n<title>Error budget burn</title>"
    )?;
    writeln!(page, "<style>{STYLE}</style>\n</head>\n<body>")?;
    writeln!(page, "<h1>Error budget burn</h1>\n<p>As of {now}.</p>")?;
    writeln!(page, "<p>{}.</p>", text::heading(report))?;
    writeln!(page, "<table>\n<thead><tr>")?;
    for column in text::COLUMNS {
        write!(page, "<th>{column}</th>")?;
    }
    writeln!(page, "</tr></thead>\n<tbody>")?;
    for (row, cells) in report.rows.iter().zip(text::rows(report)) {
        let class = if row.spent > 1.0 {
            " class=\"missed\""
        } else {
            ""
        };
        write!(page, "<tr{class}>")?;
        for cell in cells {
            write!(page, "<td>{cell}</td>")?;
        }
        writeln!(page, "</tr>")?;
    }
    writeln!(page, "</tbody>\n</table>")
}
