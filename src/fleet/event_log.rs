//! Logs a node's events. The names in the values are those of the operators' documentation.

use dunemount_fleet::fencing::FencingError;
use dunemount_fleet::lease::{LeaseEvent, LeaseLoss};
use dunemount_fleet::membership::MembershipChange;
use dunemount_fleet::node::NodeEvent;
use slog::{info, warn, Logger};

/// Logs an event. Outcomes of reads and changes of registers are not logged: they are handled where the operation was
/// started.
pub(super) fn log_event(log: &Logger, event: NodeEvent) {
    match event {
        NodeEvent::Membership(change) => log_membership_change(log, &change),
        NodeEvent::Lease { role, event } => log_lease_event(log, role, event),
        NodeEvent::Order { order, is_first_of_epoch } => {
            info!(log, "fleet: order received"; "first" => is_first_of_epoch, "epoch" => order.epoch,
                "role" => order.role);
        }
        NodeEvent::OrderRejected { order, error } => {
            let why = rejection_reason(error);
            warn!(log, "fleet: order refused"; "why" => why, "epoch" => order.epoch, "role" => order.role);
        }
        NodeEvent::AcceptorAdmitted => info!(log, "fleet: the voter has been admitted; it votes now"),
        NodeEvent::Register { .. } => {}
    }
}

fn log_membership_change(log: &Logger, change: &MembershipChange) {
    match change {
        MembershipChange::Up(member) => {
            info!(log, "fleet: member up"; "member" => &member.name, "address" => %member.address);
        }
        MembershipChange::Down(member) => {
            info!(log, "fleet: member down"; "member" => &member.name, "address" => %member.address);
        }
        MembershipChange::Superseded => {
            warn!(
                log,
                "fleet: a process with this name has started later; this process is no longer a member"
            );
        }
    }
}

fn log_lease_event(log: &Logger, role: String, event: LeaseEvent) {
    match event {
        LeaseEvent::Acquired { epoch } => {
            info!(log, "fleet: role lease acquired"; "epoch" => epoch, "role" => role);
        }
        LeaseEvent::Lost { epoch, reason } => {
            info!(log, "fleet: role lease ended"; "why" => loss_reason(reason), "epoch" => epoch, "role" => role);
        }
    }
}

fn loss_reason(loss: LeaseLoss) -> &'static str {
    match loss {
        LeaseLoss::Expired => "NotRenewed",
        LeaseLoss::TakenOver => "Taken",
        LeaseLoss::Released => "GivenBack",
    }
}

fn rejection_reason(error: FencingError) -> String {
    match error {
        FencingError::StaleEpoch { newest } => format!("Succeeded({newest})"),
        FencingError::LimitExceeded => "Bounds".to_string(),
    }
}
