//! Runs the publication of a sheet, from the operator's request to its confirmation by all zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::audit::{AuditEntry, AuditKind};
use super::fold::{SheetFold, first_version};
use super::publication::describe_receipt;
pub use super::publication::{PublishReceipt, PublishReport, PublishRequest, PublishStatus};
use super::record::{Accepted, LogRecord, Publication, SheetBase, Stream};
use super::spread::{SheetDigest, SheetMessage, ZoneDirectory};
use super::{ControlAction, ControlTurn};
use crate::model::{
    ServiceName, SheetChange, SheetContent, SheetHash, SheetVersion, TimeMs, Vm, ZoneName,
};

/// Time after which an append whose record is not seen on the log is retried, in milliseconds.
const APPEND_RETRY_MS: u64 = 2_000;
/// Longest wait for the record to be read back from the log, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 18_000;
/// Longest wait for a daemon of each zone to confirm the sheet, in milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 10_000;
/// Time after which the next daemon of an unconfirmed zone is probed, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 400;

/// Largest sheet in canonical form, in bytes; it must fit into one checkpoint record.
pub const MAX_SHEET_BYTES: usize = 2_000_000;

#[derive(Debug)]
enum Stage {
    /// Nothing is appended yet: the base is newer than the sheet here, or log records are missing.
    AwaitingBase,
    /// The append was sent to the log, but the record has not been read back.
    Appending {
        record: Publication,
        retry_at: TimeMs,
    },
    /// The publication was accepted by the fold; zones are probed for it.
    Confirming {
        accepted: Accepted,
        zones: BTreeMap<ZoneName, ZoneProbe>,
        confirming_since: TimeMs,
    },
}

#[derive(Debug, Default)]
struct ZoneProbe {
    confirmed: bool,
    probes_sent: usize,
    next_at: TimeMs,
}

#[derive(Debug)]
struct RunningPublication {
    request: PublishRequest,
    /// Services whose rules the publication changes; empty if it also changes shares or rules for
    /// any service.
    services: Vec<ServiceName>,
    started_at: TimeMs,
    stage: Stage,
}

/// The publications in progress at this daemon.
#[derive(Debug)]
pub struct PublishControl {
    vm: Vm,
    running: Vec<RunningPublication>,
}

/// Read-only state that publications need while they handle one event.
pub struct PublishView<'a> {
    /// The sheet in force and the accepted publications.
    pub fold: &'a SheetFold,
    /// Daemons by which each zone can be reached.
    pub zones: &'a ZoneDirectory,
}

impl PublishControl {
    /// Creates the state of the daemon on `vm`, with no publication in progress.
    pub fn new(vm: Vm) -> PublishControl {
        PublishControl {
            vm,
            running: Vec::new(),
        }
    }

    /// Whether any publication still waits to be accepted on the log.
    pub fn waits_for_log(&self) -> bool {
        let confirming =
            |running: &RunningPublication| matches!(running.stage, Stage::Confirming { .. });
        self.running.iter().any(|running| !confirming(running))
    }

    /// The publication of a new history whose append is pending, if there is one.
    pub fn pending_new_history(&self) -> Option<&Publication> {
        self.running
            .iter()
            .find_map(|running| match &running.stage {
                Stage::Appending { record, .. } if record.base.is_none() => Some(record),
                _ => None,
            })
    }

    /// Starts a publication, or joins the one in progress with the same id and sheet.
    pub fn start(
        &mut self,
        turn: &mut ControlTurn<'_>,
        view: &PublishView<'_>,
        request: PublishRequest,
    ) {
        let same_id = |running: &&RunningPublication| running.request.id == request.id;
        if let Some(running) = self.running.iter().find(same_id) {
            if running.request.content != request.content {
                let reason = "the publication id belongs to another sheet: choose a new one";
                refuse(turn, &request, reason);
            }
            return;
        }
        self.running.push(RunningPublication {
            request,
            services: Vec::new(),
            started_at: turn.now,
            stage: Stage::AwaitingBase,
        });
        self.advance(turn, view);
    }

    /// Marks a zone confirmed if the digest shows that its daemon `from` holds the sheet.
    pub fn digest_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        view: &PublishView<'_>,
        from: SocketAddr,
        digest: &SheetDigest,
    ) {
        for running in &mut self.running {
            if let Stage::Confirming {
                accepted, zones, ..
            } = &mut running.stage
                && holds(digest, accepted)
            {
                let reached = |zone: &ZoneName| view.zones.daemons(zone).contains(&from);
                let probes = zones.iter_mut().filter(|(zone, _)| reached(zone));
                probes.for_each(|(_, probe)| probe.confirmed = true);
            }
        }
        self.advance(turn, view);
    }

    /// Advances all publications as far as possible.
    pub fn advance(&mut self, turn: &mut ControlTurn<'_>, view: &PublishView<'_>) {
        for mut running in std::mem::take(&mut self.running) {
            match running.step(turn, view, &self.vm) {
                Some(status) => running.finish(turn, status),
                None => self.running.push(running),
            }
        }
    }
}

impl RunningPublication {
    /// Advances this publication; returns its outcome if it has ended.
    fn step(
        &mut self,
        turn: &mut ControlTurn<'_>,
        view: &PublishView<'_>,
        vm: &Vm,
    ) -> Option<PublishStatus> {
        if !matches!(self.stage, Stage::Confirming { .. }) {
            if let Some(accepted) = view.fold.accepted(&self.request.id) {
                if accepted.content != self.request.content.hash() {
                    return Some(PublishStatus::Refused {
                        reason: "the publication id belongs to another sheet: choose a new one"
                            .to_owned(),
                    });
                }
                self.confirm(turn.now, vm, accepted.clone());
            } else if let Some(status) = self.try_append(turn, view) {
                return Some(status);
            }
        }
        self.probe(turn, view)
    }

    fn try_append(
        &mut self,
        turn: &mut ControlTurn<'_>,
        view: &PublishView<'_>,
    ) -> Option<PublishStatus> {
        let waited_ms = turn.now.since_ms(self.started_at);
        let appended = matches!(self.stage, Stage::Appending { .. });
        if let Some(status) = self.base_status(view, appended) {
            return Some(status);
        }
        if waited_ms >= APPEND_TIMEOUT_MS {
            return Some(self.undecided_status(appended));
        }
        match &mut self.stage {
            Stage::AwaitingBase => self.append(turn, view),
            Stage::Appending { record, retry_at } if turn.now >= *retry_at => {
                *retry_at = turn.now.plus_ms(APPEND_RETRY_MS);
                push_append(turn, record.clone());
                None
            }
            _ => None,
        }
    }

    /// The outcome if the base already decides it: a conflict, a refusal or, if the winner is no
    /// longer known, in doubt.
    fn base_status(&self, view: &PublishView<'_>, appended: bool) -> Option<PublishStatus> {
        let Some(base) = self.requested_base() else {
            return self.new_history_status(view, appended);
        };
        let in_force = view.fold.base();
        if base.version > in_force.version {
            return None;
        }
        let chain = base.chain.unwrap_or(in_force.chain);
        if base.version == in_force.version {
            return (chain != in_force.chain).then(|| PublishStatus::Refused {
                reason: format!(
                    "version {} here has the hash {}, not {chain}: look at the sheet in force",
                    in_force.version, in_force.chain
                ),
            });
        }
        let next = base.version.next();
        match view.fold.recent().find(|accepted| accepted.version == next) {
            Some(winner) => Some(conflict(winner)),
            None if appended => Some(self.undecided_status(appended)),
            None => Some(PublishStatus::Refused {
                reason: format!(
                    "version {} is long superseded; version {} is in force: publish on top of it",
                    base.version, in_force.version
                ),
            }),
        }
    }

    /// The outcome of a new history whose version is not above the one in force.
    fn new_history_status(&self, view: &PublishView<'_>, appended: bool) -> Option<PublishStatus> {
        let version = first_version(self.request.published_ms);
        let in_force = view.fold.base().version;
        if version > in_force {
            return None;
        }
        let winner = view.fold.recent().next_back().filter(|_| appended);
        Some(match winner {
            Some(winner) => conflict(winner),
            None => PublishStatus::Refused {
                reason: format!(
                    "a new history would start at version {version}, which is not above \
                     {in_force}: set the clock of this VM"
                ),
            },
        })
    }

    fn append(
        &mut self,
        turn: &mut ControlTurn<'_>,
        view: &PublishView<'_>,
    ) -> Option<PublishStatus> {
        let fold = view.fold;
        let behind = |base| base > fold.base().version || fold.has_gap();
        if self.request.base.is_some_and(behind) {
            return None;
        }
        let old = match self.request.base {
            Some(_) => fold.sheet().content(),
            None => SheetContent::default(),
        };
        let bytes = self.request.content.encoded_bytes();
        if bytes > MAX_SHEET_BYTES {
            let reason = format!(
                "the sheet has {bytes} bytes in canonical form, more than {MAX_SHEET_BYTES}: \
                 replace rules for single callers or requests by rules for any"
            );
            return Some(PublishStatus::Refused { reason });
        }
        let change = SheetChange::between(&old, &self.request.content);
        if change.is_empty() && self.request.base.is_some() {
            let version = fold.base().version;
            let reason = format!("the sheet says the same as version {version}, which is in force");
            return Some(PublishStatus::Refused { reason });
        }
        self.services = named_services(&change);
        let record = Publication {
            id: self.request.id.clone(),
            base: self.request.base.map(|_| fold.base()),
            author: self.request.author.clone(),
            published_ms: self.request.published_ms,
            change,
        };
        push_append(turn, record.clone());
        self.stage = Stage::Appending {
            record,
            retry_at: turn.now.plus_ms(APPEND_RETRY_MS),
        };
        None
    }

    fn confirm(&mut self, now: TimeMs, vm: &Vm, accepted: Accepted) {
        let own = ZoneProbe {
            confirmed: true,
            ..ZoneProbe::default()
        };
        self.stage = Stage::Confirming {
            accepted,
            zones: BTreeMap::from([(vm.place.zone.clone(), own)]),
            confirming_since: now,
        };
    }

    /// Probes the next daemon of each unconfirmed zone; returns the outcome once all zones have
    /// confirmed or the wait is over.
    fn probe(
        &mut self,
        turn: &mut ControlTurn<'_>,
        view: &PublishView<'_>,
    ) -> Option<PublishStatus> {
        let Stage::Confirming {
            accepted,
            zones,
            confirming_since,
        } = &mut self.stage
        else {
            return None;
        };
        for zone in view.zones.zones() {
            zones.entry(zone.clone()).or_default();
        }
        let now = turn.now;
        let unconfirmed = zones.iter_mut().filter(|(_, probe)| !probe.confirmed);
        for (zone, probe) in unconfirmed.filter(|(_, probe)| now >= probe.next_at) {
            let daemons = view.zones.daemons(zone);
            if daemons.is_empty() {
                continue;
            }
            let to = daemons[probe.probes_sent % daemons.len()];
            probe.probes_sent += 1;
            probe.next_at = turn.now.plus_ms(PROBE_INTERVAL_MS);
            let base = SheetBase {
                version: SheetVersion(accepted.version.0 - 1),
                chain: accepted.parent,
            };
            let changes = view.fold.changes_since(&base).unwrap_or_default();
            turn.send_sheet(to, SheetMessage::Probe(changes));
        }
        let waiting = !view.zones.is_complete() || zones.values().any(|probe| !probe.confirmed);
        if waiting && turn.now.since_ms(*confirming_since) < CONFIRM_TIMEOUT_MS {
            return None;
        }
        let zones_where = |confirmed: bool| {
            let zones = zones
                .iter()
                .filter(move |(_, probe)| probe.confirmed == confirmed);
            zones.map(|(zone, _)| zone.clone()).collect()
        };
        let receipt = PublishReceipt {
            version: accepted.version,
            offset: accepted.offset,
            zones_confirmed: zones_where(true),
            zones_missing: zones_where(false),
            zones_known: view.zones.is_complete(),
            elapsed_ms: turn.now.since_ms(self.started_at),
        };
        Some(if waiting {
            PublishStatus::Accepted(receipt)
        } else {
            PublishStatus::InForce(receipt)
        })
    }

    fn requested_base(&self) -> Option<RequestedBase> {
        if let Stage::Appending { record, .. } = &self.stage {
            return record.base.map(|base| RequestedBase {
                version: base.version,
                chain: Some(base.chain),
            });
        }
        self.request.base.map(|version| RequestedBase {
            version,
            chain: self.request.base_chain,
        })
    }

    /// The outcome if acceptance cannot be determined: in doubt once the record was appended,
    /// refused before.
    fn undecided_status(&self, appended: bool) -> PublishStatus {
        if appended {
            let id = &self.request.id;
            return PublishStatus::InDoubt {
                reason: format!(
                    "the log service gave no answer in {} s and the record may still take effect: \
                     publish the same sheet again with the id {id}, which cannot double it",
                    APPEND_TIMEOUT_MS / 1_000
                ),
            };
        }
        PublishStatus::Refused {
            reason: "the base cannot be found: the log service and the other daemons did not \
                     give the sheet in force; nothing was written, publish again later"
                .to_owned(),
        }
    }

    fn finish(self, turn: &mut ControlTurn<'_>, status: PublishStatus) {
        let entry = audit_entry(turn, &self.request, self.services, &status);
        turn.audits.push(entry);
        turn.actions
            .push(ControlAction::PublishEnded(PublishReport {
                id: self.request.id.clone(),
                content: self.request.content.hash(),
                status,
            }));
    }
}

#[derive(Debug, Clone, Copy)]
struct RequestedBase {
    version: SheetVersion,
    chain: Option<SheetHash>,
}

fn refuse(turn: &mut ControlTurn<'_>, request: &PublishRequest, reason: &str) {
    let status = PublishStatus::Refused {
        reason: reason.to_owned(),
    };
    turn.actions
        .push(ControlAction::PublishEnded(PublishReport {
            id: request.id.clone(),
            content: request.content.hash(),
            status,
        }));
}

fn push_append(turn: &mut ControlTurn<'_>, record: Publication) {
    turn.actions.push(ControlAction::Append {
        stream: Stream::Sheets,
        record: LogRecord::Publication(record),
    });
}

/// The services that a change names; empty if it also changes shares or rules for any service.
fn named_services(change: &SheetChange) -> Vec<ServiceName> {
    let services = change.services.iter().map(|rules| rules.service.clone());
    let named: Option<Vec<ServiceName>> = services.collect();
    named
        .filter(|_| change.shares.is_none())
        .unwrap_or_default()
}

fn conflict(winner: &Accepted) -> PublishStatus {
    PublishStatus::Conflict {
        version: winner.version,
        author: winner.author.clone(),
        published_ms: winner.published_ms,
    }
}

fn holds(digest: &SheetDigest, accepted: &Accepted) -> bool {
    let same = digest.base.chain == accepted.chain;
    digest.base.version > accepted.version || same
}

fn audit_entry(
    turn: &ControlTurn<'_>,
    request: &PublishRequest,
    services: Vec<ServiceName>,
    status: &PublishStatus,
) -> AuditEntry {
    let (kind, to_version, detail) = match status {
        PublishStatus::Refused { reason } | PublishStatus::InDoubt { reason } => {
            (AuditKind::SheetRefused, None, reason.clone())
        }
        PublishStatus::Conflict {
            version, author, ..
        } => {
            let detail = format!("version {version} by {author} came first");
            (AuditKind::SheetConflict, None, detail)
        }
        PublishStatus::Accepted(receipt) | PublishStatus::InForce(receipt) => {
            let version = Some(receipt.version);
            (AuditKind::SheetAccepted, version, describe_receipt(receipt))
        }
    };
    AuditEntry {
        at_ms: turn.unix_ms,
        kind,
        author: request.author.clone(),
        services,
        from_version: request.base,
        to_version,
        detail: format!("publication {}: {detail}", request.id),
    }
}
