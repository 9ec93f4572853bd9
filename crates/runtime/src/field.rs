//! Values of log fields as plain text.

use std::fmt;
use std::time;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A value that may be missing; nothing is written then.
#[derive(Clone, Copy, Debug)]
pub struct Optional<T>(pub Option<T>);

impl<T: fmt::Display> fmt::Display for Optional<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_ref().map_or(Ok(()), |value| value.fmt(f))
    }
}

/// A duration in milliseconds with its unit, such as `26.294ms`.
#[derive(Clone, Copy, Debug)]
pub struct Millis(pub time::Duration);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}ms", self.0.as_secs_f64() * MILLIS_PER_SECOND)
    }
}

/// Several values, separated by commas.
#[derive(Clone, Copy, Debug)]
pub struct List<I>(pub I);

impl<I> fmt::Display for List<I>
where
    I: Clone + IntoIterator,
    I::Item: fmt::Display,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, value) in self.0.clone().into_iter().enumerate() {
            if n > 0 {
                f.write_str(",")?;
            }
            value.fmt(f)?;
        }
        Ok(())
    }
}
