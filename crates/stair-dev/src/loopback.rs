//! What every part of a deployment on loopback is given.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
};

use stair_config::TlsSettings;
use stair_platform::{
    Vm,
    VmRole,
    VmState, //
};
use stair_types::DataCentre;

/// A port of loopback that the system chooses.
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// The only data centre.
///
/// # Errors
///
/// None in practice: its name is a good one.
pub fn data_centre() -> anyhow::Result<DataCentre> {
    Ok(DataCentre::try_from("dev")?)
}

/// A VM that is in use.
///
/// # Errors
///
/// As [`data_centre`].
pub fn live(role: VmRole) -> anyhow::Result<Vm> {
    Ok(Vm {
        role,
        data_centre: data_centre()?,
        state: VmState::Live,
    })
}

/// Paths of no files: the keys are made on the spot and never touch one.
pub fn no_files() -> TlsSettings {
    TlsSettings {
        authority: PathBuf::new(),
        certificate: PathBuf::new(),
        key: PathBuf::new(),
    }
}
