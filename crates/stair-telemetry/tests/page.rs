//! Counters, gauges and histograms as text.

use std::time::Duration;

use stair_telemetry::page::Page;

#[test]
fn text() {
    let page = Page::default();
    page.count("answers_total", &[("status", "200")], 2);
    page.count("answers_total", &[("status", "503")], 1);
    page.gauge("catalogue_version", &[], 7);
    page.time("answer_ms", &[], Duration::from_millis(3));
    page.time("answer_ms", &[], Duration::from_secs(60));
    let text = page.text();
    for line in [
        "answers_total{status=\"200\"} 2",
        "answers_total{status=\"503\"} 1",
        "catalogue_version{} 7",
        "answer_ms_bucket{le=\"2\"} 0",
        "answer_ms_bucket{le=\"5\"} 1",
        "answer_ms_bucket{le=\"15000\"} 1",
        "answer_ms_bucket{le=\"+Inf\"} 2",
        "answer_ms_count{} 2",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in\n{text}");
    }
}

/// Guards against unbounded memory when a label takes a new value with each request by mistake. New
/// series beyond the limit must be dropped.
#[test]
fn bounded() {
    let page = Page::default();
    for i in 0..10_000 {
        page.count("x_total", &[("id", &i.to_string())], 1);
    }
    assert!(page.text().lines().count() <= 512);
}
