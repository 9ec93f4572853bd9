//! Mistakes in records are answered with line, field and what is allowed.

use skylark_core::catalog;
use skylark_core::record;
use skylark_core::unit;
use skylark_testing as testing;

/// One mistake a line: kind of template | text | its replacement | line | field | answer.
const MISTAKES: &str = r"
    account | rate:              | rte:                   | 4  | account.rte                | did you mean 'rate'?
    account | rate: 200/s        | rate: 200/min          | 4  | account.rate               | write it like 200/s
    account | rate: 200/s        | rate: 200              | 4  | account.rate               | write it like 200/s
    account | rate: 200/s        | rate: 0/s              | 4  | account.rate               | 1/s and more
    account | burst: 400         | burst: 0               | 5  | account.burst              | 1 to 1000000000
    account | burst: 400         | burst: -1              | 5  | account.burst              | write it like `burst: 400`
    account | burst: 400\n  class | class             | 2  | account.burst              | missing: write it like
    account | schema: 2          | schema: 3              | 1  | schema                     | 3 is too new
    account | schema: 2          | schema: 0              | 1  | schema                     | reads schema 1 to 2
    account | schema: 2\n        |                        | 1  | schema                     | missing
    account | schema: 2          | schema: 1              | 6  | account.class              | comes with schema 2
    account | interactive        | interactiv             | 6  | account.class              | 'interactive'? allowed
    account | account:           | acount:                | 2  | acount                     | did you mean 'account'?
    account | boat-club          | Boat Club              | 3  | account.name               | use 1 to 63 of a-z
    account | account:           | policy: {}\naccount:   | 2  | policy                     | exactly one record
    account | rate: 200/s        | rate: [                | 6  | document                   | no YAML that can be read
    region  | [north-a, north-b] | []                     | 4  | region.zones               | at least one
    region  | north-b            | north-a                | 4  | region.zones[1]            | stands here twice
    region  | 3ms                | 3                      | 5  | region.delay               | write it like 1500ms or 2s
    region  | 3ms                | 11s                    | 5  | region.delay               | allowed is 0s to 10s
    link    | south]             | north]                 | 4  | link.between               | with itself
    link    | [north, south]     | [north]                | 4  | link.between               | write it like `between:
    link    | 300 Mbit/s         | 300 MB/s               | 5  | link.bandwidth             | 300 Mbit/s
    link    | 300 Mbit/s         | 0 Mbit/s               | 5  | link.bandwidth             | 1 Mbit/s and more
    link    | name: north-south  | name: a/b              | 3  | link.name                  | use 1 to 63
    service | [GET]              | [get]                  | 5  | service.routes[0].methods[0] | did you mean 'GET'?
    service | [GET]              | []                     | 5  | service.routes[0].methods  | at least one
    service | /stock             | stock                  | 6  | service.routes[0].path     | begin with '/'
    service | /stock             | /a b                   | 6  | service.routes[0].path     | without spaces
    service | keyed              | key                    | 7  | service.routes[0].access   | did you mean 'keyed'?
    service | true               | yes                    | 8  | service.routes[0].idempotent | idempotent: true
    service | deadline: 2s       | deadline: 0s           | 10 | service.deadline           | 1ms to 1h
    service | 99.9%              | 100%                   | 13 | service.objective.good     | 0.01% to 99.99%
    service | 99.9%              | 0.999                  | 13 | service.objective.good     | write it like 99.9%
    service | 250ms              | 3s                     | 14 | service.objective.within   | deadline of 2s
    target  | slots: 5           | slots: 0               | 7  | target.slots               | allowed is 1 to
    target  | 330                | 3                      | 8  | target.connections         | cannot carry 5 slots
    target  | :9000              | :0                     | 6  | target.address             | a port above 0
    target  | 127.0.0.1:9000     | stock.example          | 6  | target.address             | address: 127
    shift   | to: south          | to: north              | 6  | shift.to                   | to itself
    shift   | part: 50%          | part: 0%               | 7  | shift.part                 | 0.01% to 100%
    shift   | cap: 100/s         | cap: 0/s               | 8  | shift.cap                  | 1/s and more
    drain   |     zone: north-a  |     zoen: north-a      | 5  | drain.subject.zoen         | 'zone'
    drain   | zone: north-a\n    | zone: a\n    host: b\n | 4  | drain.subject              | one of
    policy  | ask                | wait                   | 4  | policy.shortage            | allowed are ask, refuse
    policy  | stale_after: 5s    | stale_after: 5m        | 5  | policy.stale_after         | 1s to 1m
    policy  | answer_ttl: 5s     | answer_ttl: 0s         | 6  | policy.answer_ttl          | 100ms to 5m
    policy  | reserve: 50%       | reserve: half          | 3  | policy.reserve             | 99.9%
";

/// A mistake in a template, and the answer to it.
#[derive(Debug)]
struct Mistake {
    bad: String,
    line: usize,
    field: &'static str,
    reason: &'static str,
}

fn mistakes() -> Vec<Mistake> {
    let rows = MISTAKES.lines().filter(|row| !row.trim().is_empty());
    rows.map(|row| {
        let cells: Vec<&str> = row.split(" | ").map(str::trim).collect();
        let [kind, text, other, line, field, reason] = cells.try_into().expect("six cells");
        let good = template(kind);
        let bad = good.replacen(&text.replace(r"\n", "\n"), &other.replace(r"\n", "\n"), 1);
        assert_ne!(good, bad, "{text} is in the template");
        Mistake {
            bad,
            line: line.parse().expect("a line"),
            field,
            reason,
        }
    })
    .collect()
}

fn template(kind: &str) -> &'static str {
    record::template(kind).expect("each kind has a template")
}

fn documents(texts: &[&str]) -> Vec<record::Document> {
    record::parse(&texts.join("---\n")).expect("the records are good")
}

fn all_templates() -> Vec<record::Document> {
    let south = "schema: 1\nregion:\n  name: south\n  zones: [south-a]\n  delay: 1ms\n";
    let kinds = record::Document::KINDS.iter().map(|kind| template(kind));
    documents(&kinds.chain([south]).collect::<Vec<_>>())
}

#[test]
fn each_template_is_accepted_and_together_they_are_a_catalog() {
    let documents = all_templates();
    assert_eq!(documents.len(), record::Document::KINDS.len() + 1);
    assert_eq!(catalog::violations(&documents), Vec::new());
}

#[test]
fn the_page_on_records_shows_each_template() {
    let page = include_str!("../../../docs/RECORDS.md");
    for kind in record::Document::KINDS {
        let block = format!("```yaml\n{}```", template(kind));
        assert!(page.contains(&block), "{kind}");
    }
}

#[test]
fn each_mistake_is_answered_with_line_field_and_what_is_allowed() {
    for mistake in mistakes() {
        let bad = &mistake.bad;
        let faults = record::parse(bad).expect_err(bad);
        let [fault] = faults.as_slice() else {
            panic!("one fault in {bad}: {faults:?}");
        };
        assert_eq!(fault.field, mistake.field, "{bad}{fault}");
        assert_eq!(fault.line, mistake.line, "{bad}{fault}");
        assert!(fault.reason.contains(mistake.reason), "{bad}{fault}");
    }
}

#[test]
fn all_mistakes_are_answered_at_once() {
    let mut text = String::new();
    let mut expected = Vec::new();
    for mistake in mistakes()
        .iter()
        .filter(|mistake| mistake.field != "document")
    {
        let offset = text.lines().count();
        text.push_str(&mistake.bad);
        text.push_str("---\n");
        expected.push((offset + mistake.line, mistake.field));
    }
    let faults = record::parse(&text).expect_err("every document is refused");
    let found: Vec<(usize, &str)> = faults.iter().map(|f| (f.line, f.field.as_str())).collect();
    assert_eq!(found, expected);
}

#[test]
fn several_mistakes_of_one_record_are_answered_at_once() {
    let text = "schema: 0\nservice:\n  nme: s\n  routes:\n    - {methods: [get], path: x, \
                access: opn, idempotent: maybe}\n  queue: many\n  objective: {good: 1}\n";
    let faults = record::parse(text).expect_err("the record is refused");
    let mut fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    fields.sort_unstable();
    let expected = [
        "schema",
        "service.deadline",
        "service.nme",
        "service.objective.good",
        "service.objective.within",
        "service.queue",
        "service.routes[0].access",
        "service.routes[0].idempotent",
        "service.routes[0].methods[0]",
        "service.routes[0].path",
    ];
    assert_eq!(fields, expected, "{faults:#?}");
}

#[test]
fn no_fault_of_a_key_shows_what_was_written() {
    let secret = "5ecre7-of-a-caller";
    for field in ["digest", "account", "state", "name"] {
        let line = template("key")
            .lines()
            .find(|line| line.trim_start().starts_with(&format!("{field}:")))
            .expect("the template has the field");
        let bad = format!("  {field}: \"{secret} \"");
        let text = template("key").replacen(line, &bad, 1);
        let faults = record::parse(&text).expect_err(&text);
        assert!(!faults.is_empty());
        assert!(!format!("{faults:?}").contains(secret), "{faults:?}");
    }
}

#[test]
fn flaws_between_records_name_record_and_field() {
    let cases = [
        (
            "key",
            "account: boat-club",
            "account: boat-clubb",
            "key.account",
            "'boat-club'?",
        ),
        (
            "target",
            "service: stock",
            "service: stok",
            "target.service",
            "did you mean 'stock'?",
        ),
        (
            "target",
            "zone: north-a",
            "zone: west",
            "target.zone",
            "availability zone 'west'",
        ),
        (
            "link",
            "south]",
            "west]",
            "link.between[1]",
            "region 'west'",
        ),
        (
            "shift",
            "from: north",
            "from: nort",
            "shift.from",
            "did you mean 'north'?",
        ),
        (
            "shift",
            "service: stock",
            "service: s",
            "shift.service",
            "service 's'",
        ),
        (
            "drain",
            "zone: north-a",
            "zone: north-c",
            "drain.subject.zone",
            "'north-",
        ),
        (
            "drain",
            "zone: north-a\n",
            "target: stock-2\n",
            "drain.subject.target",
            "'stock-1'?",
        ),
        (
            "region",
            "north-b",
            "south-a",
            "region.zones[0]",
            "in region 'north' too",
        ),
    ];
    for (kind, good, bad, field, reason) in cases {
        let mut records = all_templates();
        let text = template(kind).replacen(good, bad, 1);
        let changed = record::parse(&text).expect("the record alone is good");
        records.retain(|record| record.id() != changed[0].id());
        records.splice(0..0, changed);
        let flaws = catalog::violations(&records);
        let found = flaws
            .iter()
            .find(|flaw| flaw.field == field)
            .unwrap_or_else(|| panic!("{text}{flaws:?}"));
        assert!(found.reason.contains(reason), "{found:?}");
        catalog::Catalog::new(unit::Version::NONE, &records).expect_err(field);
    }
}

#[test]
fn what_two_records_claim_is_refused() {
    let cases = [
        ("account", "", "", "account.name"),
        ("policy", "", "", "policy"),
        ("key", "name: boat-club-1", "name: other", "key.digest"),
        ("target", "name: stock-1", "name: other", "target.address"),
        ("link", "name: north-south", "name: other", "link.between"),
        (
            "service",
            "name: stock",
            "name: other",
            "service.routes[0].path",
        ),
    ];
    for (kind, good, bad, field) in cases {
        let mut records = all_templates();
        let text = template(kind).replacen(good, bad, 1);
        records.extend(record::parse(&text).expect("the record alone is good"));
        let fields: Vec<String> = catalog::violations(&records)
            .into_iter()
            .map(|f| f.field)
            .collect();
        assert_eq!(fields, [field]);
    }
}

#[test]
fn both_schemas_stand_side_by_side_and_silence_means_interactive() {
    let old = template("account")
        .replace("schema: 2", "schema: 1")
        .replace("  class: interactive\n", "")
        .replace("boat-club", "old");
    let batch = template("account").replace("interactive", "batch");
    let records = documents(&[&old, &batch]);
    assert_eq!(records[0].schema, 1);
    assert_eq!(records[1].schema, 2);
    let catalog = catalog::Catalog::new(unit::Version::new(1), &records).expect("they agree");
    let classes: Vec<record::Class> = catalog
        .accounts
        .values()
        .map(record::Account::class)
        .collect();
    assert_eq!(classes, [record::Class::Batch, record::Class::Interactive]);
}

#[test]
fn a_record_survives_reading_and_writing_unchanged() {
    for (text, schema) in [
        (template("account").replace("schema: 2", "schema: 1"), 1),
        (template("account").to_owned(), 2),
    ] {
        let text = if schema == 1 {
            text.replace("  class: interactive\n", "")
        } else {
            text
        };
        let stored = serde_json::to_value(&documents(&[&text])[0]).expect("it is JSON");
        assert_eq!(stored["schema"], schema);
        assert_eq!(stored["account"].get("class").is_some(), schema == 2);
        let read: record::Document = serde_json::from_value(stored.clone()).expect("it is read");
        assert_eq!(serde_json::to_value(&read).expect("it is JSON"), stored);
    }
    for document in all_templates() {
        let stored = serde_json::to_string(&document).expect("it is JSON");
        let read: record::Document = serde_json::from_str(&stored).expect("it is read");
        assert_eq!(read, document);
    }
}

#[test]
fn a_catalog_refuses_a_record_of_a_newer_schema() {
    let mut records = documents(&[template("account")]);
    records[0].schema = record::Document::NEWEST_SCHEMA + 1;
    let error = catalog::Catalog::new(unit::Version::NONE, &records).expect_err("it is too new");
    let text = error.to_string();
    assert!(text.contains("account/boat-club"), "{text}");
    assert!(
        text.contains("3 is out of range: allowed is 1 to 2"),
        "{text}"
    );
}

#[test]
fn numbers_that_look_like_names_are_kept_as_they_are_written() {
    let text = template("account").replace("boat-club", "007");
    assert_eq!(documents(&[&text])[0].id().as_deref(), Some("account/007"));
}

#[test]
fn any_text_is_answered_with_records_or_faults_within_its_lines() {
    testing::check(|u| {
        let kind = *u.choose(&record::Document::KINDS)?;
        let mut text = template(kind).to_owned();
        for _ in 0..u.int_in_range(1..=3)? {
            let places: Vec<usize> = text.char_indices().map(|(place, _)| place).collect();
            let place = *u.choose(&places)?;
            let scrap = *u.choose(&["", " ", ":", "x", "-1", "\n", "'", "[", "---\n", "\u{e9}"])?;
            let end = place + text[place..].chars().next().map_or(0, char::len_utf8);
            text.replace_range(place..end, scrap);
            if text.is_empty() {
                break;
            }
        }
        let lines = text.lines().count().max(1);
        let read = record::parse_with_recovery(&text);
        let is_blank = text.lines().all(|line| matches!(line.trim(), "" | "---"));
        assert!(
            is_blank || !read.located.is_empty() || !read.diagnostics.is_empty(),
            "{text}"
        );
        for fault in &read.diagnostics {
            assert!((1..=lines + 1).contains(&fault.line), "{text}{fault}");
        }
        Ok(())
    });
}
