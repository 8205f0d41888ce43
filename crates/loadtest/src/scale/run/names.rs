//! Names of gateways, control servers and zones, and the indexes in them.

/// A gateway's name in the fleet.
pub(super) fn gateway_name(gateway: usize) -> String {
    format!("gw-{gateway:04}")
}

/// A control server's name, by its index, which is its zone too.
pub(super) fn control_name(index: usize) -> String {
    format!("control-{index}")
}

/// The index in a control server's name.
pub(super) fn control_index(name: &str) -> Option<usize> {
    name.strip_prefix("control-")?.parse().ok()
}

/// A zone's name in the settings.
pub(super) fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The index in a gateway's name.
pub(super) fn gateway_index(name: &str) -> Option<usize> {
    name.strip_prefix("gw-")?.parse().ok()
}
