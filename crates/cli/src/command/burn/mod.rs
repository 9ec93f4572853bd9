//! `skylark burn`: reports the burn rate of the services' error budgets.

mod page;
mod plot;
mod text;

use std::collections;
use std::fs;
use std::time;

use skylark_core::burn;
use skylark_core::timestamp;
use skylark_core::unit;

use crate::decisions;
use crate::error;
use crate::options;
use crate::print;
use crate::session;
use crate::table;

const SHORT_WINDOW_MILLIS: u64 = 300_000;
const LONG_WINDOW_MILLIS: u64 = 3_600_000;

/// Prints the report, and with `--html` also writes it as a page with plots.
///
/// # Errors
///
/// Fails when the platform does not answer or the page cannot be drawn or written.
pub async fn run(session: &session::Session, flags: &options::Burn) -> error::Result<()> {
    let windows = burn::Windows {
        short: flags
            .short
            .unwrap_or(unit::HumanDuration::from_millis(SHORT_WINDOW_MILLIS)),
        long: flags
            .long
            .unwrap_or(unit::HumanDuration::from_millis(LONG_WINDOW_MILLIS)),
    };
    let base = session.snapshot().await?;
    let decisions = decisions::read_all(&session.platform()?).await?;
    let catalog = base.check(&crate::store::Edit::default())?;
    let now = timestamp::Timestamp::from(time::SystemTime::now());
    let report = burn::Report::new(&decisions.records, &catalog, windows, now);
    print_omissions(&report, decisions.unreadable);
    if let Some(file) = &flags.html {
        let page = page::render(&report, now)?;
        fs::write(file, page).map_err(|source| error::Error::File {
            file: file.display().to_string(),
            source,
        })?;
    }
    if session.format() == session::Format::Json {
        return session.output(&report, "");
    }
    session.output(&(), &text::heading(&report))?;
    table::print(&text::COLUMNS, &text::rows(&report))
}

/// Prints which records and requests the report leaves out.
fn print_omissions(report: &burn::Report, unreadable: usize) {
    let label = print::styled(print::WARNING, "left out:");
    if unreadable > 0 {
        print::progress(&format!("{label} {unreadable} records that cannot be read"));
    }
    if report.unattributed > 0 {
        let count = report.unattributed;
        print::progress(&format!(
            "{label} {count} requests on no route of a service"
        ));
    }
}

/// Returns the services of the report, sorted by name.
fn services(report: &burn::Report) -> Vec<&str> {
    let names: collections::BTreeSet<&str> =
        report.series.iter().map(|s| s.service.as_str()).collect();
    names.into_iter().collect()
}
