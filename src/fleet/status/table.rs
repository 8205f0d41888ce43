//! The status as `dunemount fleet status` prints it.

use std::fmt::{self, Display, Formatter};

use super::{ConfigurationStatus, NodeStatus, RejectedVersion};

impl Display for ConfigurationStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match (self.version, &self.digest) {
            (Some(version), Some(digest)) => {
                write!(f, "configuration: version {version} ({digest}) in force")?;
            }
            _ => write!(f, "configuration: no version in force, the gateway's own file")?,
        }
        match &self.machine {
            Some(machine) if self.cut_off_ms == 0 => writeln!(f, ", heard from {machine}")?,
            _ => writeln!(f, ", cut off from all control machines for {} ms", self.cut_off_ms)?,
        }
        if let Some(RejectedVersion { version, digest, why }) = &self.refused {
            writeln!(f, "refused: version {version} ({digest}): {why}")?;
        }
        if let Some(why) = &self.unstored {
            writeln!(f, "a version cannot be stored, it is tried again: {why}")?;
        }
        let ConfigurationStatus { older, conflicts, .. } = self;
        match older + conflicts {
            0 => Ok(()),
            _ => writeln!(f, "offered and not taken: {older} older; numbers with two digests: {conflicts}"),
        }
    }
}

impl Display for NodeStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.write_summary(f)?;
        if let Some(configuration) = &self.configuration {
            write!(f, "{configuration}")?;
        }
        self.write_members(f)?;
        self.write_voters(f)?;
        self.write_roles(f)
    }
}

impl NodeStatus {
    fn write_summary(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let voting = match self.voting {
            None => "no voter".to_string(),
            Some(true) => format!("votes, {} registers", self.registers),
            Some(false) => "a voter without its file, to be let in".to_string(),
        };
        writeln!(f, "fleet {}, {} at {}: {voting}", self.fleet, self.me.name, self.me.address)?;
        if let Some(why) = &self.unstored {
            writeln!(f, "the voter cannot store, it answers nothing new until it can: {why}")?;
        }
        let NodeStatus { foreign, senseless, too_long, refused, unfit, .. } = self;
        write!(f, "dropped: {foreign} foreign, {senseless} senseless, {too_long} too long; ")?;
        writeln!(f, "orders refused: {refused}")?;
        if *unfit > 0 {
            writeln!(f, "replies of voters that cannot store or have an older copy of their file: {unfit}")?;
        }
        Ok(())
    }

    fn write_members(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{:<24} {:<24} START", "MEMBER", "ADDRESS")?;
        for member in std::iter::once(&self.me).chain(&self.members) {
            writeln!(f, "{:<24} {:<24} {}", member.name, member.address, member.start)?;
        }
        Ok(())
    }

    fn write_voters(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{:<24} {:<24} PRESENT", "VOTER", "FILE")?;
        for voter in &self.voters {
            let present = if voter.present { "yes" } else { "no" };
            writeln!(f, "{:<24} {:<24} {present}", voter.name, voter.generation)?;
        }
        Ok(())
    }

    fn write_roles(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{:<24} {:<24} EPOCH", "ROLE", "OWNER")?;
        for role in &self.roles {
            let owner = role.owner.as_deref().unwrap_or(if role.epoch == 0 { "-" } else { "?" });
            let here = if role.held { " (here)" } else { "" };
            writeln!(f, "{:<24} {:<24} {}", role.name, format!("{owner}{here}"), role.epoch)?;
        }
        Ok(())
    }
}
