//! The slack of quotas in the settings of agents and entries.

use stair_config::{
    Document,
    fleet_settings::SidecarSettings, //
};

fn slack(line: &str) -> Result<f64, String> {
    let text = format!(
        "name: vm-1\ndata_centre: sto-a\nengine: \"10.0.0.1:80\"\ninner: \"10.0.0.1:81\"\n\
         metrics: \"10.0.0.1:82\"\nstore: \"10.0.0.2:80\"\nstop_within_ms: 6000\n{line}"
    );
    let document = Document::parse("agent.yaml", &text).map_err(|p| p.to_string())?;
    let settings = SidecarSettings::try_from(&document).map_err(|p| p.to_string())?;
    Ok(settings.quota_slack)
}

/// A deployment without the bound leaves the field of the template empty, and files of the release before lack it.
#[test]
fn empty_or_absent() {
    assert_eq!(slack(""), Ok(0.0));
    assert_eq!(slack("quota_slack: \n"), Ok(0.0));
    assert_eq!(slack("quota_slack: 110000\n"), Ok(110_000.0));
}

#[test]
fn wrong_values() {
    for value in ["-1", "lots", "[]", "1e13"] {
        let problem = slack(&format!("quota_slack: {value}\n")).expect_err(value);
        assert!(problem.contains("quota_slack"), "{problem}");
    }
}
