//! Rows of the membership table, the messages that update them, and the events that result.

use slotmap::new_key_type;

use super::MIN_INTERVAL_US;

new_key_type! {
    /// Identifies a member's row. A restarted process keeps its row, and the ID of a removed row is
    /// not reused.
    pub struct Id;
}

/// Role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A sidecar, which forwards work to an upstream.
    Sidecar,
    /// An entry, which accepts work from callers.
    Entry,
}

/// Returns the region of an availability zone: the zone's name up to the last dash, or all of it if
/// it has none.
pub fn region(zone: &str) -> &str {
    zone.rsplit_once('-').map_or(zone, |(region, _)| region)
}

/// Name and address of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Name of the entry.
    pub name: String,
    /// Incarnation of the entry; 0 if not known yet.
    pub incarnation: u64,
    /// Address of the entry's internal port, as text.
    pub address: String,
    /// Availability zone; empty if not known.
    pub zone: String,
}

/// A sidecar's announcement.
#[derive(Debug, Clone)]
pub struct Announcement<'a> {
    /// Name of the sidecar.
    pub name: &'a str,
    /// Incarnation of the sidecar.
    pub incarnation: u64,
    /// Sequence number, which grows with every announcement.
    pub sequence: u64,
    /// Service of the sidecar's upstream.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Address of the sidecar's internal port, as text.
    pub address: &'a str,
    /// Number of slots of the upstream.
    pub slots: u16,
    /// True if the sidecar accepts no new work.
    pub closing: bool,
    /// Revision of the document in force at the sidecar.
    pub revision: u64,
    /// Size of the datagram with its headers, in bytes.
    pub bytes: u32,
}

/// An entry's answer to an announcement.
#[derive(Debug, Clone)]
pub struct Answer<'a> {
    /// Entry that sent the answer.
    pub from: Contact,
    /// Interval that the entry requests between announcements, in microseconds.
    pub interval_us: u64,
    /// Service of the sidecar that announced itself.
    pub service: &'a str,
    /// Newest revision of that service known to the sender.
    pub revision: u64,
    /// Entries from which the sender has recently received messages.
    pub entries: &'a [Contact],
}

/// Membership data in another entry's digest.
#[derive(Debug, Clone)]
pub struct Report<'a> {
    /// Entry that sent the digest.
    pub from: Contact,
    /// Sequence number, which grows with every digest.
    pub sequence: u64,
    /// True if the sender accepts no new work.
    pub closing: bool,
    /// Services, each with the revision in force at the sender.
    pub revisions: &'a [(&'a str, u64)],
    /// Entries and incarnations whose job IDs the sender owns.
    pub adopted: &'a [(&'a str, u64)],
    /// Entries from which the sender has recently received messages.
    pub entries: &'a [Contact],
}

/// Row of a member.
#[derive(Debug, Clone)]
pub struct Member {
    /// Role of the member.
    pub role: Role,
    /// Name of the member.
    pub name: String,
    /// Current incarnation of the member.
    pub incarnation: u64,
    /// Service of the sidecar's upstream; empty for an entry.
    pub service: String,
    /// Availability zone; empty if not known.
    pub zone: String,
    /// Address of the member's internal port, as text.
    pub address: String,
    /// Number of slots of the sidecar's upstream; 0 for an entry.
    pub slots: u16,
    /// True if the member accepts no new work.
    pub closing: bool,
    /// True if no message has arrived from the member for `SUSPECT_INTERVALS` intervals.
    pub suspected: bool,
    /// Interval at which messages of the member are expected, in microseconds.
    ///
    /// It shrinks by at most a fifth with each message, because the member may have missed the
    /// answers that requested a shorter interval.
    pub interval_us: u64,
    /// Time at which a message last arrived from the member, in microseconds, plus the later pauses
    /// of this process.
    pub last_received: u64,
    pub(super) sequence: u64,
    /// Whether this process's own link to the member is up; `None` if it has had none to this
    /// incarnation.
    pub(super) link: Option<bool>,
    /// Earlier incarnations, newest first.
    pub(super) replaced: Vec<u64>,
    pub(super) revisions: Vec<(String, u64)>,
    pub(super) adopted: Vec<(String, u64)>,
}

impl Member {
    pub(super) fn new(role: Role, name: &str, incarnation: u64, sequence: u64, now: u64) -> Self {
        Self {
            role,
            name: name.to_owned(),
            incarnation,
            service: String::new(),
            zone: String::new(),
            address: String::new(),
            slots: 0,
            closing: false,
            suspected: false,
            interval_us: MIN_INTERVAL_US,
            last_received: now,
            sequence,
            link: None,
            replaced: Vec::new(),
            revisions: Vec::new(),
            adopted: Vec::new(),
        }
    }

    /// Returns the member's name and address.
    pub fn contact(&self) -> Contact {
        Contact {
            name: self.name.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            zone: self.zone.clone(),
        }
    }

    /// Returns the revision of a service in force at the member; 0 if none.
    pub fn revision(&self, service: &str) -> u64 {
        let found = self.revisions.iter().find(|(name, _)| name == service);
        found.map_or(0, |(_, revision)| *revision)
    }
}

/// A change of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A member's first message arrived, or its first one since it was suspected.
    Joined(Id),
    /// A member has a new incarnation. Work sent to the old one may have run.
    Restarted {
        /// The member.
        id: Id,
        /// Former incarnation of the member.
        old: u64,
    },
    /// No message has arrived from a member for `SUSPECT_INTERVALS` intervals.
    Suspected(Id),
    /// A member was removed, because no message arrived for `REMOVE_INTERVALS` intervals.
    Left {
        /// Former row of the member.
        id: Id,
        /// Role of the member.
        role: Role,
        /// Name of the member.
        name: String,
        /// Last incarnation of the member.
        incarnation: u64,
    },
    /// A member has stopped accepting new work.
    Closing(Id),
    /// A member reported a newer revision of a service's document than any known before.
    Revision {
        /// Member from which to fetch the document.
        from: Id,
        /// Name of the service.
        service: String,
        /// Newest revision.
        revision: u64,
    },
}
