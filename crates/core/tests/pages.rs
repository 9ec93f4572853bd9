//! Pages state what the code does.

use skylark_core::kind;

#[test]
fn the_page_for_callers_lists_every_refusal() {
    let page = include_str!("../../../docs/CALLERS.md");
    for kind in kind::ErrorKind::ALL {
        let answer = kind.answer();
        let retry = serde_json::to_value(answer.retry).expect("JSON");
        let row = format!(
            "| `{kind}` | {} | {} | {} | {} |",
            answer.status,
            answer.outcome,
            retry.as_str().expect("text"),
            answer.title
        );
        assert!(page.contains(&row), "{row}");
    }
}
