//! Whatever a caller sends, it gets an answer that says what was wrong.

mod support;

use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{
        RngSeed,
        TestRunner, //
    },
};
use support::{
    agent::FakeAgent,
    rig::{
        GOLD,
        Rig,
        keys, //
    },
};

const CASES: usize = 400;

fn body() -> impl Strategy<Value = String> {
    let number = prop_oneof![
        any::<i64>().prop_map(|n| n.to_string()),
        any::<f64>().prop_map(|n| n.to_string()),
        Just("1e999".to_owned()),
        Just("\"8\"".to_owned()),
        Just("null".to_owned()),
    ];
    prop_oneof![
        "\\PC{0,80}",
        "[\\[{\"':,0-9a-f\\\\]{0,60}",
        Just("[".repeat(50_000)),
        Just(format!(
            "{}{}",
            "{\"a\":".repeat(50_000),
            "}".repeat(50_000)
        )),
        ("[ -~]{0,20}", number.clone(), number).prop_map(|(model, a, b)| {
            let model = serde_json::Value::from(model);
            format!(r#"{{"model":{model},"max_tokens":{a},"max_completion_tokens":{b}}}"#)
        }),
    ]
}

// A caller's client has a fault and sends anything as a body, or a hostile one tries to bring an
// entry down.
#[tokio::test]
async fn any_body() {
    let keys = keys();
    let agent = FakeAgent::start("t1", &keys, |s| s.serve("{}"));
    let rig = Rig::start(&keys, &[&agent]).await;
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    });
    for _ in 0..CASES {
        let body = body().new_tree(&mut runner).expect("it makes a value");
        let body = body.current();

        let got = rig.post(GOLD, &body, &[]).await;

        let status = got.status.as_u16();
        let refused = (400..500).contains(&status) && &*got.verdict == "not-run";
        assert!(refused, "{status} {} for {body:.200}", got.verdict);
    }
}
