//! Reading a file or a chunk with arbitrary content returns a value or an error and never panics.

use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use serde_json::{
    Value,
    json, //
};
use stair_config::{
    AgentSettings, Catalogue, Declarations, Document, EntrySettings,
    chunks::{
        self,
        Chunk,
        content_name, //
    },
};

/// Reads a text as settings of both kinds and as declarations.
fn read_as_all(text: &str) {
    let Ok(document) = Document::parse("a.yaml", text) else {
        return;
    };
    let _ = EntrySettings::try_from(&document);
    let _ = AgentSettings::try_from(&document);
    let _ = Catalogue::try_from(Declarations::new(vec![document.clone(), document]));
}

/// Valid and invalid values of fields.
fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[ -~]{0,12}".prop_map(Value::from),
        Just(json!("127.0.0.1:0")),
        Just(json!("interactive")),
    ];
    let field = prop_oneof![
        Just("name".to_owned()),
        Just("models".to_owned()),
        Just("tiers".to_owned()),
        Just("callers".to_owned()),
        Just("services".to_owned()),
        Just("routes".to_owned()),
        Just("policy".to_owned()),
        Just("limits".to_owned()),
        Just("target".to_owned()),
        Just("memory_mib".to_owned()),
        Just("replicas".to_owned()),
        Just("rank".to_owned()),
        "[a-z_]{1,8}",
    ];
    leaf.prop_recursive(5, 60, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map(field.clone(), inner, 0..6)
                .prop_map(|map| map.into_iter().collect::<serde_json::Map<_, _>>().into()),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text(text in "\\PC{0,300}") {
        read_as_all(&text);
    }

    #[test]
    fn yaml_signs(text in "[-:\\[\\]{}&*!|>'\"#%@`,? \n\ta-c0-2~<]{0,120}") {
        read_as_all(&text);
    }

    #[test]
    fn any_fields(value in value()) {
        read_as_all(&value.to_string());
    }

    // The hash of each chunk matches, but its content is not part of a catalogue.
    #[test]
    fn any_chunks(values in prop::collection::vec(value(), 0..4)) {
        let chunks: Vec<Chunk> = values
            .into_iter()
            .map(|value| Chunk {
                hash: content_name(&value.to_string()),
                value,
            })
            .collect();
        let _ = chunks::join(&chunks);
    }
}

// A file of a few lines expands to gigabytes through nested aliases, or nests deeply enough to
// overflow the stack.
#[test]
fn small_bombs() {
    let mut aliases = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for i in 1..12 {
        let all = vec![format!("*a{}", i - 1); 9].join(", ");
        aliases.push_str(&format!("a{i}: &a{i} [{all}]\n"));
    }
    read_as_all(&aliases);
    for (open, close) in [("[", "]"), ("{a: ", "}"), ("- ", "")] {
        let deep = format!("{}x{}", open.repeat(100_000), close.repeat(100_000));
        read_as_all(&deep);
    }
}
