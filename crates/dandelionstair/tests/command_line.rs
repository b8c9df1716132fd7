//! Help texts and exit codes of the binary.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        Output, //
    }, //
};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dandelionstair"))
        .args(args)
        .output()
        .unwrap()
}

fn stdout(args: &[&str]) -> String {
    String::from_utf8(run(args).stdout).unwrap()
}

fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(path)
}

#[test]
fn help_texts() {
    insta::assert_snapshot!("help", stdout(&["--help"]));
    for verb in [
        "dev", "entry", "agent", "relay", "sidecar", "check", "plan", "apply", "status", "explain",
        "dump", "drain",
    ] {
        insta::assert_snapshot!(format!("help_{verb}"), stdout(&[verb, "--help"]));
    }
}

#[test]
fn wrong_usage() {
    for args in [
        &["serve"][..],
        &["entry"],
        &["plan", "here"],
        &["apply", "here", "--platform", "localhost:7000"],
        &["apply", "here", "--platform", "127.0.0.1:7000", "--wait"],
    ] {
        assert_eq!(run(args).status.code(), Some(2), "{args:?}");
    }
}

#[test]
fn valid_files() {
    let declarations = example("gawahi/declarations");
    let text = stdout(&["check", declarations.to_str().unwrap()]);
    insta::assert_snapshot!(text);
    for kind in ["entry", "agent", "relay", "sidecar"] {
        let settings = example(&format!("gawahi/settings/{kind}.yaml"));
        let output = run(&["check", "--kind", kind, settings.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(0), "{kind}");
    }
}

#[test]
fn invalid_files() {
    let settings = example("gawahi/settings/agent.yaml");
    let output = run(&["check", settings.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("agent.yaml:"), "{text}");
    assert!(text.contains("found an unknown field"), "{text}");
    let output = run(&["check", "/nowhere/at/all"]);
    assert_eq!(output.status.code(), Some(2));
}
