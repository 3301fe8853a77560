//! Folds the sheet stream of the log into the sheet in force. The fold is deterministic: every
//! reader of the same records reaches the same state.
//!
//! A publication is accepted if its base is exactly the state in force, by version and by the
//! chain hash over all earlier publications. States are totally ordered by [`SheetState::rank`],
//! and the rank of a fold never decreases.

use std::collections::VecDeque;
use std::sync::Arc;

use super::record::{
    Accepted, AcceptedChange, LogBatch, LogRecord, Publication, SheetBase, SheetState,
};
use crate::model::{Sheet, SheetContent, SheetHash, SheetVersion};

/// Number of latest accepted publications that a fold keeps: to detect repeated ids, to name the
/// winners of conflicts, and to send changes to other daemons.
pub const RECENT_PUBLICATIONS: usize = 64;
/// Most publications buffered while records before them are missing.
const MAX_PENDING_RECORDS: usize = 4_096;

impl SheetState {
    /// Version and chain hash of this state.
    pub fn base(&self) -> SheetBase {
        SheetBase {
            version: self.sheet.version,
            chain: self.chain,
        }
    }

    /// Position in the total order of states, which also covers states of different histories.
    pub fn rank(&self) -> SheetRank {
        (self.sheet.version, self.sheet.published_ms, self.chain)
    }

    /// Whether the hashes match the sheet and the latest accepted publication.
    pub fn is_consistent(&self) -> bool {
        self.recent.last().is_some_and(|last| {
            let sheet = &self.sheet;
            let chain = chain_hash(last.parent, sheet, &last.id, last.content);
            chain == self.chain
                && last.chain == self.chain
                && last.content == sheet.content().hash()
                && last.version == sheet.version
        })
    }
}

/// Sort key of a state: version, time of publication in milliseconds since the Unix epoch, chain
/// hash.
pub type SheetRank = (SheetVersion, u64, SheetHash);

/// Records read after a gap in the stream, buffered until a state is learned that covers the gap.
#[derive(Debug)]
struct PendingRecords {
    first_offset: u64,
    next_offset: u64,
    entries: VecDeque<(u64, LogRecord)>,
}

/// The sheet in force after the records folded so far.
#[derive(Debug)]
pub struct SheetFold {
    sheet: Arc<Sheet>,
    chain: SheetHash,
    through: u64,
    recent: VecDeque<Accepted>,
    recent_changes: VecDeque<AcceptedChange>,
    pending: Option<PendingRecords>,
}

impl Default for SheetFold {
    fn default() -> Self {
        SheetFold {
            sheet: Arc::new(Sheet::built_in()),
            chain: SheetHash::default(),
            through: 0,
            recent: VecDeque::new(),
            recent_changes: VecDeque::new(),
            pending: None,
        }
    }
}

impl SheetFold {
    /// The sheet in force.
    pub fn sheet(&self) -> &Arc<Sheet> {
        &self.sheet
    }

    /// Version and chain hash of the sheet in force; the default before the first publication.
    pub fn base(&self) -> SheetBase {
        SheetBase {
            version: self.sheet.version,
            chain: self.chain,
        }
    }

    /// Position of the fold's state in the total order of states.
    pub fn rank(&self) -> SheetRank {
        (self.sheet.version, self.sheet.published_ms, self.chain)
    }

    /// A copy of the whole state, for checkpoints and other daemons.
    pub fn state(&self) -> SheetState {
        SheetState {
            sheet: Sheet::clone(&self.sheet),
            chain: self.chain,
            through: self.through,
            recent: self.recent.iter().cloned().collect(),
        }
    }

    /// Offset from which to read the log next.
    pub fn next_offset(&self) -> u64 {
        let pending = self.pending.as_ref();
        pending.map_or(self.through, |pending| pending.next_offset)
    }

    /// Whether records are missing before some of those already read.
    pub fn has_gap(&self) -> bool {
        self.pending.is_some()
    }

    /// The latest accepted publications, oldest first.
    pub fn recent(&self) -> impl DoubleEndedIterator<Item = &Accepted> {
        self.recent.iter()
    }

    /// The accepted publication with this id, if it is among the latest [`RECENT_PUBLICATIONS`].
    pub fn accepted(&self, id: &str) -> Option<&Accepted> {
        self.recent.iter().find(|accepted| accepted.id == id)
    }

    /// The changes from `base` to the current state, or `None` if they are not all kept.
    pub fn changes_since(&self, base: &SheetBase) -> Option<Vec<AcceptedChange>> {
        let follows_base = |change: &AcceptedChange| change.publication.base.as_ref() == Some(base);
        let start = self.recent_changes.iter().position(follows_base)?;
        Some(self.recent_changes.iter().skip(start).cloned().collect())
    }

    /// Folds in the result of a log read that was requested from offset `from`.
    ///
    /// Records already folded in are skipped. If records between the fold's offset and the batch
    /// have expired, the batch is buffered until a state covers the gap.
    pub fn fold_batch(&mut self, from: u64, batch: LogBatch) {
        let start = from.max(batch.first_offset);
        if start > self.next_offset() {
            if from > self.next_offset() {
                return;
            }
            self.pending = Some(PendingRecords {
                first_offset: start,
                next_offset: start,
                entries: VecDeque::new(),
            });
        }
        for entry in batch.entries {
            if entry.offset >= self.next_offset() {
                self.fold_record(entry.offset, entry.record);
            } else if let LogRecord::Publication(publication) = &entry.record {
                self.handle_log_reset(entry.offset, publication);
            }
        }
        self.advance_to(batch.next_offset);
    }

    /// Folds in accepted changes sent by another daemon.
    pub fn merge_changes(&mut self, changes: &[AcceptedChange]) {
        for change in changes {
            let publication = &change.publication;
            let follows_current = publication.base == Some(self.base());
            let through = self.through.max(change.offset + 1);
            if follows_current && self.apply_publication(change.offset, publication) {
                self.through = through;
                self.fold_pending();
            }
        }
    }

    /// Adopts the state of another daemon if it is consistent and does not rank lower; for the same
    /// state, only the offset is raised.
    pub fn merge_state(&mut self, state: &SheetState) {
        if state.rank() < self.rank() || !state.is_consistent() {
            return;
        }
        if state.base() == self.base() {
            self.through = self.through.max(state.through);
        } else {
            self.adopt(state);
        }
        self.fold_pending();
    }

    /// Skips the missing records before publication `id`: it started a new history, which does not
    /// depend on them. Only the daemon that published it calls this, since on others the record may
    /// be a delayed duplicate.
    pub fn skip_records_before(&mut self, id: &str) {
        let Some(offset) = self.accepted(id).and_then(|accepted| accepted.offset) else {
            return;
        };
        self.through = self.through.max(offset + 1);
        if let Some(pending) = &mut self.pending {
            pending.first_offset = pending.first_offset.min(self.through);
        }
        self.fold_pending();
    }

    /// Accepts a new history below the offsets already read: the log was reset, and its offsets
    /// restarted.
    fn handle_log_reset(&mut self, offset: u64, publication: &Publication) {
        if publication.base.is_none() && self.apply_publication(offset, publication) {
            self.through = offset + 1;
            self.pending = None;
        }
    }

    fn fold_record(&mut self, offset: u64, record: LogRecord) {
        if self.pending.is_some() {
            return self.fold_record_after_gap(offset, record);
        }
        if let LogRecord::Publication(publication) = &record {
            self.apply_publication(offset, publication);
        }
        self.through = offset + 1;
    }

    /// Handles a record after a gap: only a checkpoint or a new history can be applied without the
    /// missing records.
    ///
    /// A new history does not close the gap, since the record may be a delayed duplicate.
    fn fold_record_after_gap(&mut self, offset: u64, record: LogRecord) {
        match &record {
            LogRecord::Publication(publication) if publication.base.is_none() => {
                self.apply_publication(offset, publication);
            }
            LogRecord::Checkpoint(state) if state.through <= offset => {
                self.buffer_record(offset, LogRecord::Checkpoint(state.clone()));
                return self.merge_state(state);
            }
            _ => {}
        }
        self.buffer_record(offset, record);
    }

    fn buffer_record(&mut self, offset: u64, record: LogRecord) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.next_offset = offset + 1;
        if matches!(record, LogRecord::Publication(_)) {
            pending.entries.push_back((offset, record));
        }
        if pending.entries.len() > MAX_PENDING_RECORDS
            && let Some((dropped, _)) = pending.entries.pop_front()
        {
            pending.first_offset = dropped + 1;
        }
    }

    /// Folds in the buffered records once the gap before them is closed. All of them are needed: a
    /// state is current only together with every record after it.
    fn fold_pending(&mut self) {
        let through = self.through;
        let Some(pending) = self
            .pending
            .take_if(|pending| pending.first_offset <= through)
        else {
            return;
        };
        for (offset, record) in pending.entries {
            if offset >= self.through {
                self.fold_record(offset, record);
            }
        }
        self.through = self.through.max(pending.next_offset);
    }

    fn advance_to(&mut self, next_offset: u64) {
        match &mut self.pending {
            Some(pending) => pending.next_offset = pending.next_offset.max(next_offset),
            None => self.through = self.through.max(next_offset),
        }
    }

    /// Applies a publication if it is acceptable; true if it is now in force.
    fn apply_publication(&mut self, offset: u64, publication: &Publication) -> bool {
        let (version, old) = match publication.base {
            Some(base) if base == self.base() => (base.version.next(), self.sheet.content()),
            Some(_) => return false,
            None => (
                first_version(publication.published_ms),
                SheetContent::default(),
            ),
        };
        let repeated = publication.base.is_some() && self.accepted(&publication.id).is_some();
        if version <= self.sheet.version || repeated {
            return false;
        }
        let content = publication.change.apply(&old);
        let content_hash = content.hash();
        let sheet = Sheet {
            version,
            author: publication.author.clone(),
            published_ms: publication.published_ms,
            rules: content.rules,
            shares: content.shares,
        };
        let parent = publication
            .base
            .map_or_else(SheetHash::default, |base| base.chain);
        if publication.base.is_none() {
            self.recent.clear();
            self.recent_changes.clear();
        }
        self.chain = chain_hash(parent, &sheet, &publication.id, content_hash);
        self.push_accepted(Accepted {
            id: publication.id.clone(),
            version,
            parent,
            chain: self.chain,
            content: content_hash,
            author: sheet.author.clone(),
            published_ms: sheet.published_ms,
            offset: Some(offset),
        });
        push_bounded(
            &mut self.recent_changes,
            AcceptedChange {
                offset,
                publication: publication.clone(),
            },
        );
        self.sheet = Arc::new(sheet);
        true
    }

    fn adopt(&mut self, state: &SheetState) {
        self.sheet = Arc::new(state.sheet.clone());
        self.chain = state.chain;
        self.through = state.through;
        self.recent = state.recent.iter().cloned().collect();
        self.recent_changes.clear();
    }

    fn push_accepted(&mut self, accepted: Accepted) {
        push_bounded(&mut self.recent, accepted);
    }
}

/// The first version of a new history: its time of publication in seconds, which is above any
/// version that incrementing reaches.
pub fn first_version(published_ms: u64) -> SheetVersion {
    SheetVersion(published_ms / 1_000)
}

fn push_bounded<T>(queue: &mut VecDeque<T>, value: T) {
    if queue.len() >= RECENT_PUBLICATIONS {
        queue.pop_front();
    }
    queue.push_back(value);
}

fn chain_hash(parent: SheetHash, sheet: &Sheet, id: &str, content: SheetHash) -> SheetHash {
    SheetHash::of(&[
        parent.as_bytes(),
        id.as_bytes(),
        sheet.author.as_str().as_bytes(),
        &sheet.published_ms.to_be_bytes(),
        &sheet.version.0.to_be_bytes(),
        content.as_bytes(),
    ])
}
