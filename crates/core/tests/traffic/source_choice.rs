//! Choice of the host that is asked for table changes.

use std::net;

use skylark_core::traffic;

use super::common;

fn sources(count: u8) -> Vec<net::SocketAddr> {
    (0..count)
        .map(|n| net::SocketAddr::from(([10, 0, 0, n], 1)))
        .collect()
}

/// Load pattern: hosts with thin links are busy with a large change, and do not answer in time.
#[test]
fn a_host_that_did_not_answer_is_not_asked_again_before_the_others() {
    for seed in 0..8 {
        let mut choice = traffic::SourceChoice::new(seed);
        let sources = sources(4);
        let mut asked = Vec::new();
        for n in 0..4 {
            assert_eq!(choice.has_untried(&sources), n < 4);
            let source = choice.choose(&sources, common::at(n * 1_000)).expect("one");
            assert!(!asked.contains(&source), "{source} again: {asked:?}");
            choice.record_failure(source, common::at(n * 1_000));
            asked.push(source);
        }
        assert!(!choice.has_untried(&sources));
        // All failed: the one whose failure is the oldest.
        assert_eq!(choice.choose(&sources, common::at(4_000)), Some(asked[0]));
        // The first two failures are forgotten.
        let next = choice.choose(&sources, common::at(6_500)).expect("one");
        assert!(asked[..2].contains(&next), "{next} of {asked:?}");
    }
}

#[test]
fn hosts_are_asked_in_turn_and_begin_at_different_ones() {
    let sources = sources(3);
    let first = |seed| traffic::SourceChoice::new(seed).choose(&sources, common::at(0));
    assert_ne!(first(0), first(1));
    let mut choice = traffic::SourceChoice::new(0);
    let asked: Vec<_> = (0..3)
        .map(|n| choice.choose(&sources, common::at(n)))
        .collect();
    for source in &sources {
        assert!(asked.contains(&Some(*source)));
    }
    assert_eq!(choice.choose(&[], common::at(3)), None);
}
