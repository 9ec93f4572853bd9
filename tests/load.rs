//! Runs the load tool against real processes.

mod common;

use std::process;

const DELAY_MILLIS: u64 = 50;

#[tokio::test(flavor = "multi_thread")]
async fn latencies_above_a_few_milliseconds_are_reported_in_full() {
    let fleet = common::Fleet::start(&common::ZONES[..1]).await;
    for target in 0..common::TARGETS {
        let faults = serde_json::json!({"slow_millis": DELAY_MILLIS});
        fleet.target_faults(target, &faults).await;
    }
    let base = fleet.hosts[0].entry_url("");
    let account = format!("shop,{},20,1000,2000", common::KEY);
    let output = process::Command::new(env!("CARGO_BIN_EXE_skylark-load"))
        .args([
            "--json",
            "--url",
            &base,
            "run",
            "/stock/oars",
            "--seconds",
            "1",
        ])
        .args(["--account", &account])
        .output()
        .expect("the load tool runs");
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let p50 = report[0]["p50_micros"]
        .as_u64()
        .expect("the median is a number");
    assert!(p50 >= DELAY_MILLIS * 1_000, "{report}");
}
