//! Parsing and validating records: each mistake is reported with its line, field and allowed values.

use skylark_core::catalog;
use skylark_core::record;
use skylark_core::unit;
use skylark_testing as testing;

/// One mistake per row: template | text | its replacement | line | field | part of the reason.
const MISTAKES: &str = r"
    account | rate:              | rte:                   | 4  | account.rte                | did you mean 'rate'?
    account | rate: 200/s        | rate: 200/min          | 4  | account.rate               | write it like 200/s
    account | rate: 200/s        | rate: 200              | 4  | account.rate               | write it like 200/s
    account | rate: 200/s        | rate: 0/s              | 4  | account.rate               | 1/s or more
    account | burst: 400         | burst: 0               | 5  | account.burst              | 1 to 1000000000
    account | burst: 400         | burst: -1              | 5  | account.burst              | write it like `burst: 400`
    account | burst: 400\n  class | class             | 2  | account.burst              | missing: write it like
    account | schema: 2          | schema: 3              | 1  | schema                     | 3 is too new
    account | schema: 2          | schema: 0              | 1  | schema                     | reads schema 1 to 2
    account | schema: 2\n        |                        | 1  | schema                     | missing
    account | schema: 2          | schema: 1              | 6  | account.class              | requires schema 2
    account | interactive        | interactiv             | 6  | account.class              | 'interactive'? allowed
    account | account:           | acount:                | 2  | acount                     | did you mean 'account'?
    account | boat-club          | Boat Club              | 3  | account.name               | use 1 to 63 of a-z
    account | account:           | policy: {}\naccount:   | 2  | policy                     | exactly one record
    account | rate: 200/s        | rate: [                | 6  | document                   | invalid YAML
    region  | [north-a, north-b] | []                     | 4  | region.zones               | at least one
    region  | north-b            | north-a                | 4  | region.zones[1]            | is listed twice
    region  | 3ms                | 3                      | 5  | region.delay               | write it like 1500ms or 2s
    region  | 3ms                | 11s                    | 5  | region.delay               | allowed values are 0s to 10s
    link    | south]             | north]                 | 4  | link.between               | with itself
    link    | [north, south]     | [north]                | 4  | link.between               | write it like `between:
    link    | 300 Mbit/s         | 300 MB/s               | 5  | link.bandwidth             | 300 Mbit/s
    link    | 300 Mbit/s         | 0 Mbit/s               | 5  | link.bandwidth             | 1 Mbit/s or more
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
    target  | slots: 5           | slots: 0               | 7  | target.slots               | allowed values are 1 to
    target  | 330                | 3                      | 8  | target.connections         | cannot carry 5 slots
    target  | :9000              | :0                     | 6  | target.address             | a port above 0
    target  | 127.0.0.1:9000     | stock.example          | 6  | target.address             | address: 127
    shift   | to: south          | to: north              | 6  | shift.to                   | to itself
    shift   | part: 50%          | part: 0%               | 7  | shift.part                 | 0.01% to 100%
    shift   | cap: 100/s         | cap: 0/s               | 8  | shift.cap                  | 1/s or more
    drain   |     zone: north-a  |     zoen: north-a      | 5  | drain.subject.zoen         | 'zone'
    drain   | zone: north-a\n    | zone: a\n    host: b\n | 4  | drain.subject              | one of
    policy  | ask                | wait                   | 4  | policy.shortage            | allowed values are ask, refuse
    policy  | stale_after: 5s    | stale_after: 5m        | 5  | policy.stale_after         | 1s to 1m
    policy  | answer_ttl: 5s     | answer_ttl: 0s         | 6  | policy.answer_ttl          | 100ms to 5m
    policy  | reserve: 50%       | reserve: half          | 3  | policy.reserve             | 99.9%
";

/// A template with a mistake, and the expected diagnostic.
#[derive(Debug)]
struct Mistake {
    text: String,
    line: usize,
    field: &'static str,
    reason: &'static str,
}

fn mistakes() -> Vec<Mistake> {
    let rows = MISTAKES.lines().filter(|row| !row.trim().is_empty());
    rows.map(|row| {
        let cells: Vec<&str> = row.split(" | ").map(str::trim).collect();
        let [kind, from, to, line, field, reason] = cells.try_into().expect("six cells");
        let valid = template(kind);
        let text = valid.replacen(&from.replace(r"\n", "\n"), &to.replace(r"\n", "\n"), 1);
        assert_ne!(valid, text, "{from} is in the template");
        Mistake {
            text,
            line: line.parse().expect("a line number"),
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
    record::parse(&texts.join("---\n")).expect("the records are valid")
}

fn all_templates() -> Vec<record::Document> {
    let south = "schema: 1\nregion:\n  name: south\n  zones: [south-a]\n  delay: 1ms\n";
    let kinds = record::Document::KINDS.iter().map(|kind| template(kind));
    documents(&kinds.chain([south]).collect::<Vec<_>>())
}

#[test]
fn templates_are_valid_alone_and_together() {
    let documents = all_templates();
    assert_eq!(documents.len(), record::Document::KINDS.len() + 1);
    assert_eq!(catalog::violations(&documents), Vec::new());
}

#[test]
fn records_page_shows_each_template() {
    let page = include_str!("../../../docs/RECORDS.md");
    for kind in record::Document::KINDS {
        let block = format!("```yaml\n{}```", template(kind));
        assert!(page.contains(&block), "{kind}");
    }
}

#[test]
fn each_mistake_is_reported_with_line_field_and_allowed_values() {
    for mistake in mistakes() {
        let text = &mistake.text;
        let diagnostics = record::parse(text).expect_err(text);
        let [diagnostic] = diagnostics.as_slice() else {
            panic!("expected one diagnostic for {text}: {diagnostics:?}");
        };
        assert_eq!(diagnostic.field, mistake.field, "{text}{diagnostic}");
        assert_eq!(diagnostic.line, mistake.line, "{text}{diagnostic}");
        assert!(
            diagnostic.reason.contains(mistake.reason),
            "{text}{diagnostic}"
        );
    }
}

#[test]
fn mistakes_in_several_documents_are_reported_together() {
    let mut text = String::new();
    let mut expected = Vec::new();
    for mistake in mistakes()
        .iter()
        .filter(|mistake| mistake.field != "document")
    {
        let offset = text.lines().count();
        text.push_str(&mistake.text);
        text.push_str("---\n");
        expected.push((offset + mistake.line, mistake.field));
    }
    let diagnostics = record::parse(&text).expect_err("every document is rejected");
    let found: Vec<(usize, &str)> = diagnostics
        .iter()
        .map(|f| (f.line, f.field.as_str()))
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn mistakes_in_one_record_are_reported_together() {
    let text = "schema: 0\nservice:\n  nme: s\n  routes:\n    - {methods: [get], path: x, \
                access: opn, idempotent: maybe}\n  queue: many\n  objective: {good: 1}\n";
    let diagnostics = record::parse(text).expect_err("the record is rejected");
    let mut fields: Vec<&str> = diagnostics
        .iter()
        .map(|diagnostic| diagnostic.field.as_str())
        .collect();
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
    assert_eq!(fields, expected, "{diagnostics:#?}");
}

#[test]
fn diagnostics_of_a_key_never_show_the_value() {
    let secret = "5ecre7-of-a-caller";
    for field in ["digest", "account", "state", "name"] {
        let line = template("key")
            .lines()
            .find(|line| line.trim_start().starts_with(&format!("{field}:")))
            .expect("the template has the field");
        let replacement = format!("  {field}: \"{secret} \"");
        let text = template("key").replacen(line, &replacement, 1);
        let diagnostics = record::parse(&text).expect_err(&text);
        assert!(!diagnostics.is_empty());
        assert!(
            !format!("{diagnostics:?}").contains(secret),
            "{diagnostics:?}"
        );
    }
}

#[test]
fn violations_between_records_name_the_field() {
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
    for (kind, from, to, field, reason) in cases {
        let mut records = all_templates();
        let text = template(kind).replacen(from, to, 1);
        let changed = record::parse(&text).expect("the record is valid by itself");
        records.retain(|record| record.id() != changed[0].id());
        records.splice(0..0, changed);
        let violations = catalog::violations(&records);
        let found = violations
            .iter()
            .find(|violation| violation.field == field)
            .unwrap_or_else(|| panic!("{text}{violations:?}"));
        assert!(found.reason.contains(reason), "{found:?}");
        catalog::Catalog::new(unit::Version::NONE, &records).expect_err(field);
    }
}

#[test]
fn duplicates_between_records_are_rejected() {
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
    for (kind, from, to, field) in cases {
        let mut records = all_templates();
        let text = template(kind).replacen(from, to, 1);
        records.extend(record::parse(&text).expect("the record is valid by itself"));
        let fields: Vec<String> = catalog::violations(&records)
            .into_iter()
            .map(|f| f.field)
            .collect();
        assert_eq!(fields, [field]);
    }
}

#[test]
fn schemas_1_and_2_mix_and_the_class_defaults_to_interactive() {
    let old = template("account")
        .replace("schema: 2", "schema: 1")
        .replace("  class: interactive\n", "")
        .replace("boat-club", "old");
    let batch = template("account").replace("interactive", "batch");
    let records = documents(&[&old, &batch]);
    assert_eq!(records[0].schema, 1);
    assert_eq!(records[1].schema, 2);
    let catalog =
        catalog::Catalog::new(unit::Version::new(1), &records).expect("the records are consistent");
    let classes: Vec<record::Class> = catalog
        .accounts
        .values()
        .map(record::Account::class)
        .collect();
    assert_eq!(classes, [record::Class::Batch, record::Class::Interactive]);
}

#[test]
fn records_are_unchanged_by_a_json_round_trip() {
    for (text, schema) in [
        (template("account").replace("schema: 2", "schema: 1"), 1),
        (template("account").to_owned(), 2),
    ] {
        let text = if schema == 1 {
            text.replace("  class: interactive\n", "")
        } else {
            text
        };
        let stored = serde_json::to_value(&documents(&[&text])[0]).expect("valid JSON");
        assert_eq!(stored["schema"], schema);
        assert_eq!(stored["account"].get("class").is_some(), schema == 2);
        let read: record::Document =
            serde_json::from_value(stored.clone()).expect("a valid record");
        assert_eq!(serde_json::to_value(&read).expect("valid JSON"), stored);
    }
    for document in all_templates() {
        let stored = serde_json::to_string(&document).expect("valid JSON");
        let read: record::Document = serde_json::from_str(&stored).expect("a valid record");
        assert_eq!(read, document);
    }
}

#[test]
fn catalog_rejects_a_record_of_a_newer_schema() {
    let mut records = documents(&[template("account")]);
    records[0].schema = record::Document::NEWEST_SCHEMA + 1;
    let error =
        catalog::Catalog::new(unit::Version::NONE, &records).expect_err("the schema is too new");
    let text = error.to_string();
    assert!(text.contains("account/boat-club"), "{text}");
    assert!(
        text.contains("3 is out of range: allowed values are 1 to 2"),
        "{text}"
    );
}

#[test]
fn numeric_names_are_read_as_text() {
    let text = template("account").replace("boat-club", "007");
    assert_eq!(documents(&[&text])[0].id().as_deref(), Some("account/007"));
}

#[test]
fn any_text_gives_records_or_diagnostics_within_its_lines() {
    testing::check(|u| {
        let kind = *u.choose(&record::Document::KINDS)?;
        let mut text = template(kind).to_owned();
        for _ in 0..u.int_in_range(1..=3)? {
            let positions: Vec<usize> = text.char_indices().map(|(position, _)| position).collect();
            let position = *u.choose(&positions)?;
            let replacement =
                *u.choose(&["", " ", ":", "x", "-1", "\n", "'", "[", "---\n", "\u{e9}"])?;
            let end = position + text[position..].chars().next().map_or(0, char::len_utf8);
            text.replace_range(position..end, replacement);
            if text.is_empty() {
                break;
            }
        }
        let lines = text.lines().count().max(1);
        let parsed = record::parse_with_recovery(&text);
        let is_blank = text.lines().all(|line| matches!(line.trim(), "" | "---"));
        assert!(
            is_blank || !parsed.located.is_empty() || !parsed.diagnostics.is_empty(),
            "{text}"
        );
        for diagnostic in &parsed.diagnostics {
            assert!(
                (1..=lines + 1).contains(&diagnostic.line),
                "{text}{diagnostic}"
            );
        }
        Ok(())
    });
}
