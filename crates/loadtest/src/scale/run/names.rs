//! Names of gateways, control servers and zones, and the indexes that they contain.

/// The name of a gateway in the fleet.
pub(super) fn gateway_name(gateway: usize) -> String {
    format!("gw-{gateway:04}")
}

/// The name of the control server with this index, which is also the index of its zone.
pub(super) fn control_name(index: usize) -> String {
    format!("control-{index}")
}

/// The index in a control server's name; `None` if the name has another form.
pub(super) fn control_index(name: &str) -> Option<usize> {
    name.strip_prefix("control-")?.parse().ok()
}

/// The name of a zone in the settings.
pub(super) fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The index in a gateway's name; `None` if the name has another form.
pub(super) fn gateway_index(name: &str) -> Option<usize> {
    name.strip_prefix("gw-")?.parse().ok()
}
