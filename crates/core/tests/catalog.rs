//! Tests that routes match whole segments of the path and that the longest one wins.

use skylark_core::catalog;
use skylark_core::record;
use skylark_core::unit;

const RECORDS: &str = "schema: 1
service:
  name: stock
  routes:
    - {methods: [GET], path: /stock, access: open, idempotent: true}
    - {methods: [GET], path: /stock/private, access: keyed, idempotent: true}
    - {methods: [GET], path: /files/, access: open, idempotent: true}
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 250ms}
";

fn access(method: &str, path: &str) -> Option<record::Access> {
    let documents = record::parse(RECORDS).expect("the records are valid");
    let catalog = catalog::Catalog::new(unit::Version::new(1), &documents)
        .expect("the records are consistent");
    catalog.route(method, path).map(|found| found.route.access)
}

#[test]
fn the_longest_route_by_whole_segments_wins() {
    let cases = [
        ("/stock", Some(record::Access::Open)),
        ("/stock/oars", Some(record::Access::Open)),
        ("/stock/private", Some(record::Access::Keyed)),
        ("/stock/private/2", Some(record::Access::Keyed)),
        ("/stock/privateer", Some(record::Access::Open)),
        ("/stockholders", None),
        ("/files/a", Some(record::Access::Open)),
        ("/files", None),
        ("/", None),
    ];
    for (path, expected) in cases {
        assert_eq!(access("GET", path), expected, "{path}");
    }
    assert_eq!(access("POST", "/stock"), None);
}
