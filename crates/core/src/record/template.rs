//! Template records: a valid example of each kind.

/// Returns a valid example record of a kind, with every field set.
#[must_use]
pub fn template(kind: &str) -> Option<&'static str> {
    let text = match kind {
        "account" => ACCOUNT,
        "key" => KEY,
        "region" => REGION,
        "link" => LINK,
        "service" => SERVICE,
        "target" => TARGET,
        "shift" => SHIFT,
        "drain" => DRAIN,
        "policy" => POLICY,
        _ => return None,
    };
    Some(text)
}

const ACCOUNT: &str = "schema: 2
account:
  name: boat-club
  rate: 200/s
  burst: 400
  class: interactive
";

const KEY: &str = "schema: 1
key:
  name: boat-club-1
  account: boat-club
  digest: 0000000000000000000000000000000000000000000000000000000000000000
  state: valid
";

const REGION: &str = "schema: 1
region:
  name: north
  zones: [north-a, north-b]
  delay: 3ms
";

const LINK: &str = "schema: 1
link:
  name: north-south
  between: [north, south]
  bandwidth: 300 Mbit/s
  delay: 20ms
";

const SERVICE: &str = "schema: 1
service:
  name: stock
  routes:
    - methods: [GET]
      path: /stock
      access: keyed
      idempotent: true
      batch: false
  deadline: 2s
  queue: 64
  objective:
    good: 99.9%
    within: 250ms
";

const TARGET: &str = "schema: 1
target:
  name: stock-1
  service: stock
  zone: north-a
  address: 127.0.0.1:9000
  slots: 5
  connections: 330
";

const SHIFT: &str = "schema: 1
shift:
  name: stock-south
  service: stock
  from: north
  to: south
  part: 50%
  cap: 100/s
";

const DRAIN: &str = "schema: 1
drain:
  name: zone-north-a
  subject:
    zone: north-a
";

const POLICY: &str = "schema: 1
policy:
  reserve: 50%
  shortage: ask
  stale_after: 5s
  answer_ttl: 5s
";
