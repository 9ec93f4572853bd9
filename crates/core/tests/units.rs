//! Parsing and displaying quantities with their units.

use skylark_core::unit;
use skylark_testing as testing;

#[test]
fn quantities_are_unchanged_by_a_round_trip() {
    testing::check(|u| {
        let rate = unit::Rate::per_second(u.int_in_range(0..=1_000_000)?);
        let percent = unit::Percent::from_basis_points(u.int_in_range(0..=10_000)?);
        let duration = unit::HumanDuration::from_millis(u.int_in_range(0..=10_000_000)?);
        assert_eq!(rate.to_string().parse(), Ok(rate));
        assert_eq!(percent.to_string().parse(), Ok(percent));
        assert_eq!(duration.to_string().parse(), Ok(duration));
        Ok(())
    });
}

#[test]
fn malformed_or_excessive_percentages_are_rejected() {
    for text in ["101%", "100.01%", "5", "1.234%", "-1%", ""] {
        assert!(text.parse::<unit::Percent>().is_err(), "{text}");
    }
}
