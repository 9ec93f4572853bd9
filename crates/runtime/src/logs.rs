//! Logs of one line an event with `key=value` fields.

use std::io::Write as _;

/// Starts logging to standard error at the level that `SKYLARK_LOG` names, else `info`.
pub fn init(process: &'static str) {
    let filter = env_logger::Env::new().filter_or("SKYLARK_LOG", "info");
    let mut builder = env_logger::Builder::from_env(filter);
    // The library logs each call, and its timeouts as errors; the callers log what matters.
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

/// Writes each field of a record as `key=value`.
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
