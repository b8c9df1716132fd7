//! Counts of late and failed requests by route and reason.

use stair_telemetry::losses::{
    End,
    count, //
};

fn request(id: &str) -> String {
    format!(
        r#"{{"ts":1,"event":"request","id":"{id}","route":"drafts","model":"m1","objective_ms":800.0,"gap_ms":600.0}}"#
    )
}

fn line(id: &str, rest: &str) -> String {
    format!(r#"  3.0 vm-1 {{"ts":1,"id":"{id}",{rest}}}"#)
}

fn end_of(rest: &[&str]) -> End {
    let mut lines = vec![request("r1")];
    lines.extend(rest.iter().map(|r| line("r1", r)));
    let rows = count(lines.iter().map(|l| &**l));
    assert_eq!(rows.len(), 1, "{rows:?}");
    assert_eq!(
        (&*rows[0].route, &*rows[0].model, rows[0].count),
        ("drafts", "m1", 1)
    );
    rows[0].end.clone()
}

const LATE: &str =
    r#""event":"answered","status":200,"first_ms":900.0,"pause_ms":10.0,"end":"complete""#;

#[test]
fn reasons() {
    let answered = |first: f64, pause: f64, end: &str| {
        format!(
            r#""event":"answered","status":200,"first_ms":{first:.1},"pause_ms":{pause:.1},"end":"{end}""#
        )
    };
    assert_eq!(end_of(&[&answered(300.0, 20.0, "complete")]), End::OnTime);
    assert_eq!(end_of(&[&answered(300.0, 700.0, "complete")]), End::Paused);
    assert_eq!(end_of(&[&answered(300.0, 20.0, "reset")]), End::Cut);
    assert_eq!(
        end_of(&[&answered(300.0, 20.0, "client gone")]),
        End::ClientLeft
    );
    assert_eq!(
        end_of(&[r#""event":"client.left","took_ms":9.0"#]),
        End::ClientLeft
    );
    let refused = r#""event":"refused","reason":"no-target""#;
    assert_eq!(end_of(&[refused]), End::Refused("no-target".into()));
    let failed = r#""event":"answered","status":500,"bytes":3,"took_ms":20.0"#;
    assert_eq!(end_of(&[failed]), End::TargetFailed);
    assert_eq!(end_of(&[]), End::Unknown);
}

/// A late response is attributed to its main wait.
#[test]
fn why_late() {
    let woken = r#""event":"woken","took_ms":500.0"#;
    let adapter = r#""event":"adapter","took_ms":500.0"#;
    let attempt = r#""event":"attempt","took_ms":50.0"#;
    assert_eq!(end_of(&[woken, attempt, LATE]), End::LateModel);
    assert_eq!(end_of(&[adapter, attempt, LATE]), End::LateAdapter);
    assert_eq!(end_of(&[attempt, attempt, LATE]), End::LateRetry);
    assert_eq!(end_of(&[attempt, LATE]), End::LateQueue);
}

#[test]
fn counted_by_route() {
    let mut lines: Vec<String> = ["r1", "r2", "r3"].map(request).to_vec();
    lines.push(line("r1", LATE));
    lines.push(line("r2", LATE));
    lines.push("cut {".to_owned());
    let rows = count(lines.iter().map(|l| &**l));
    let counts: Vec<(String, usize)> = rows.iter().map(|r| (r.end.to_string(), r.count)).collect();
    let expected = [
        ("late, queued".to_owned(), 2),
        ("no end known".to_owned(), 1),
    ];
    assert_eq!(counts, expected);
}
