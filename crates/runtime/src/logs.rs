//! Structured logs: one line for each event, with `key=value` fields.

use std::fmt;
use std::fmt::Write as _;
use std::io;
use std::io::Write as _;
use std::sync;

use super::sink;

/// Log target of request lines, the first to be dropped.
pub const REQUEST: &str = "request";
/// Log target of lines of requests that this host failed, dropped after other request lines.
pub const FAILED_REQUEST: &str = "failed request";

/// Initial capacity of a line, large enough that few reallocate.
const LINE_CAPACITY_BYTES: usize = 512;

static SINK: sync::OnceLock<sync::Arc<sink::Sink>> = sync::OnceLock::new();

/// Starts logging to standard output through a bounded buffer, which never blocks the caller.
///
/// Lines that don't fit are dropped and counted, those of ordinary requests first.
///
/// # Errors
///
/// Fails if the writer thread cannot be started.
pub fn init_bounded(process: &'static str) -> io::Result<()> {
    let sink = SINK.get_or_init(sync::Arc::default);
    sink::start(sync::Arc::clone(sink))?;
    let filter = env_logger::Env::new().filter_or("SKYLARK_LOG", "info");
    let mut builder = env_logger::Builder::from_env(filter);
    builder.target(env_logger::Target::Pipe(Box::new(io::sink())));
    builder.format(move |_out, record| {
        let line = format_line(process, record).map_err(io::Error::other)?;
        let class = match record.target() {
            REQUEST if record.level() > log::Level::Warn => sink::Class::Request,
            FAILED_REQUEST => sink::Class::FailedRequest,
            _ => sink::Class::Other,
        };
        sink.push(class, line.as_bytes());
        Ok(())
    });
    builder.init();
    Ok(())
}

/// Writes the buffered lines once; call it before the process exits.
pub fn flush() {
    if let Some(sink) = SINK.get() {
        sink.write_buffered();
    }
}

fn format_line(process: &str, record: &log::Record<'_>) -> Result<String, fmt::Error> {
    let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
    let mut line = String::with_capacity(LINE_CAPACITY_BYTES);
    write!(line, "at={time} level={} process={process}", record.level())?;
    match record.args().as_str() {
        Some(event) => write!(line, " event={event:?}")?,
        None => write!(line, " event={:?}", record.args().to_string())?,
    }
    let mut fields = LineFields(&mut line);
    if let Err(error) = record.key_values().visit(&mut fields) {
        write!(line, " fields_lost={:?}", error.to_string())?;
    }
    line.push('\n');
    Ok(line)
}

/// Appends each field of a record to a line as `key=value`.
///
/// Empty values and those with spaces, quotes, `=` or line breaks are quoted.
struct LineFields<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for LineFields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}=")?;
        // Written unquoted first, as few values need quotes, to avoid a temporary string.
        let start = self.0.len();
        write!(self.0, "{value}")?;
        let text = &self.0[start..];
        if text.is_empty() || text.contains([' ', '"', '=', '\n']) {
            let quoted = format!("{text:?}");
            self.0.replace_range(start.., &quoted);
        }
        Ok(())
    }
}

/// Starts logging to standard error at the level in `SKYLARK_LOG`, `info` by default.
pub fn init(process: &'static str) {
    let filter = env_logger::Env::new().filter_or("SKYLARK_LOG", "info");
    let mut builder = env_logger::Builder::from_env(filter);
    // tarpc logs every call, and timeouts as errors; its callers log the relevant failures.
    builder.filter_module("tarpc", log::LevelFilter::Off);
    builder.format(move |out, record| {
        write!(
            out,
            "at={} level={}",
            out.timestamp_millis(),
            record.level()
        )?;
        write!(
            out,
            " process={process} event={:?}",
            record.args().to_string()
        )?;
        let mut fields = Fields(out);
        let _visited = record.key_values().visit(&mut fields);
        writeln!(fields.0)
    });
    builder.init();
}

/// Writes each field of a record to a formatter as `key=value`, unquoted.
struct Fields<'a>(&'a mut env_logger::fmt::Formatter);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}
