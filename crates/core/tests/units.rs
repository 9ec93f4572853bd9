//! Quantities are read and written with their units.

use skylark_core::unit;
use skylark_testing as testing;

#[test]
fn quantities_survive_a_round_trip() {
    testing::check(|u| {
        let rate = unit::Rate::per_second(u.int_in_range(0..=1_000_000)?);
        let part = unit::Percent::from_basis_points(u.int_in_range(0..=10_000)?);
        let span = unit::HumanDuration::from_millis(u.int_in_range(0..=10_000_000)?);
        assert_eq!(rate.to_string().parse(), Ok(rate));
        assert_eq!(part.to_string().parse(), Ok(part));
        assert_eq!(span.to_string().parse(), Ok(span));
        Ok(())
    });
}

#[test]
fn a_percentage_above_the_whole_is_refused() {
    for text in ["101%", "100.01%", "5", "1.234%", "-1%", ""] {
        assert!(text.parse::<unit::Percent>().is_err(), "{text}");
    }
}
