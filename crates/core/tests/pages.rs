//! Documentation pages agree with the code.

use skylark_core::kind;

#[test]
fn callers_page_lists_every_error_kind() {
    let page = include_str!("../../../docs/CALLERS.md");
    for kind in kind::ErrorKind::ALL {
        let answer = kind.answer();
        let retry = serde_json::to_value(answer.retry).expect("valid JSON");
        let row = format!(
            "| `{kind}` | {} | {} | {} | {} |",
            answer.status,
            answer.outcome,
            retry.as_str().expect("a string"),
            answer.title
        );
        assert!(page.contains(&row), "{row}");
    }
}
