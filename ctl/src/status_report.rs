//! The report of `almondctl status`.

use std::fmt;
use std::net::SocketAddr;

use almondhead_lib::revision::Head;
use almondhead_macros::message;
use almondhead_net::InstanceState;

use crate::history_command::describe_head;

/// The newest revision and the state of each entry instance.
#[message]
pub(crate) struct StatusReport {
    /// The newest head; absent when there is none or it could not be read.
    pub(crate) head: Option<Head>,
    /// The entry instances, in the order of the platform's list or of the `--at` options.
    pub(crate) instances: Vec<InstanceStatus>,
}

/// The state of one entry instance.
#[message]
pub(crate) struct InstanceStatus {
    /// Its name in the platform's list; absent for one named with `--at`.
    pub(crate) name: Option<String>,
    /// Its data centre in the platform's list.
    pub(crate) data_centre: Option<String>,
    /// Its state in the platform's list: live or leaving.
    pub(crate) listed_as: Option<InstanceState>,
    /// The address that was probed; absent when the list has none.
    pub(crate) address: Option<SocketAddr>,
    /// Whether `/readyz` answered 200.
    pub(crate) ready: bool,
    /// The revision that it has in force; absent when it has none or could not be read.
    pub(crate) revision: Option<u64>,
    /// Why it is not ready, or why its revision could not be read.
    pub(crate) reason: Option<String>,
}

impl StatusReport {
    /// Whether every entry instance is ready and has the newest revision in force.
    ///
    /// Instances that the platform lists as leaving are ignored.
    pub(crate) fn is_as_intended(&self) -> bool {
        let newest = self.head.as_ref().map(|head| head.revision);
        let mut staying = self
            .instances
            .iter()
            .filter(|instance| instance.listed_as != Some(InstanceState::Leaving));
        staying.all(|instance| instance.ready && instance.revision >= newest)
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.head {
            Some(head) => writeln!(formatter, "{}", describe_head(head))?,
            None => writeln!(formatter, "the newest revision is not known")?,
        }
        for instance in &self.instances {
            writeln!(formatter, "{instance}")?;
        }
        Ok(())
    }
}

impl fmt::Display for InstanceStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.name.as_deref().unwrap_or("not listed");
        write!(formatter, "{name}")?;
        if let Some(data_centre) = &self.data_centre {
            write!(formatter, " in {data_centre}")?;
        }
        if let Some(address) = self.address {
            write!(formatter, " at {address}")?;
        }
        if self.listed_as == Some(InstanceState::Leaving) {
            write!(formatter, ", leaving")?;
        }
        let ready = if self.ready { "ready" } else { "not ready" };
        write!(formatter, ": {ready}")?;
        if let Some(revision) = self.revision {
            write!(formatter, ", revision {revision}")?;
        }
        if let Some(reason) = &self.reason {
            write!(formatter, ", {reason}")?;
        }
        Ok(())
    }
}
