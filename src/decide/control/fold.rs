//! The fold of the sheet stream: every reader of the same records ends at the same state.
//!
//! A publication is accepted if it builds on exactly the state then in force,
//! by version and by the hash over all publications before it. States are
//! ordered by [`SheetState::rank`]; a fold only ever moves up in that order.

use std::collections::VecDeque;
use std::sync::Arc;

use super::record::{
    Accepted, AcceptedChange, LogBatch, LogRecord, Publication, SheetBase, SheetState,
};
use crate::model::{Sheet, SheetContent, SheetHash, SheetVersion};

/// Accepted publications remembered by id, author and time.
pub const RECENT_PUBLICATIONS: usize = 64;
/// Records kept while the reader waits for a state that they build on.
const MAX_WAITING_RECORDS: usize = 4_096;

impl SheetState {
    /// Where in the history this state stands.
    pub fn base(&self) -> SheetBase {
        SheetBase {
            version: self.sheet.version,
            chain: self.chain,
        }
    }

    /// The order of states, also of those of two histories.
    pub fn rank(&self) -> SheetRank {
        (self.sheet.version, self.sheet.published_ms, self.chain)
    }

    /// Whether sheet and hashes belong together.
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

/// Version, time of publication in milliseconds since the Unix epoch, chain hash.
pub type SheetRank = (SheetVersion, u64, SheetHash);

/// Records behind which some are missing, kept until a state is found that they build on.
#[derive(Debug)]
struct Waiting {
    first: u64,
    next: u64,
    entries: VecDeque<(u64, LogRecord)>,
}

/// The sheet in force, as far as the records have been read.
#[derive(Debug)]
pub struct SheetFold {
    sheet: Arc<Sheet>,
    chain: SheetHash,
    through: u64,
    recent: VecDeque<Accepted>,
    tail: VecDeque<AcceptedChange>,
    waiting: Option<Waiting>,
}

impl Default for SheetFold {
    fn default() -> Self {
        SheetFold {
            sheet: Arc::new(Sheet::none()),
            chain: SheetHash::default(),
            through: 0,
            recent: VecDeque::new(),
            tail: VecDeque::new(),
            waiting: None,
        }
    }
}

impl SheetFold {
    /// The sheet in force.
    pub fn sheet(&self) -> &Arc<Sheet> {
        &self.sheet
    }

    /// Where in the history the fold stands.
    pub fn base(&self) -> SheetBase {
        SheetBase {
            version: self.sheet.version,
            chain: self.chain,
        }
    }

    /// The order of the fold's state among others.
    pub fn rank(&self) -> SheetRank {
        (self.sheet.version, self.sheet.published_ms, self.chain)
    }

    /// The whole state.
    pub fn state(&self) -> SheetState {
        SheetState {
            sheet: Sheet::clone(&self.sheet),
            chain: self.chain,
            through: self.through,
            recent: self.recent.iter().cloned().collect(),
        }
    }

    /// The offset from which the log is to be read.
    pub fn next_offset(&self) -> u64 {
        let waiting = self.waiting.as_ref();
        waiting.map_or(self.through, |waiting| waiting.next)
    }

    /// Whether records are missing behind those that were read.
    pub fn has_gap(&self) -> bool {
        self.waiting.is_some()
    }

    /// The latest accepted publications, oldest first.
    pub fn recent(&self) -> impl DoubleEndedIterator<Item = &Accepted> {
        self.recent.iter()
    }

    /// The accepted publication of an id, if it is among the latest.
    pub fn accepted(&self, id: &str) -> Option<&Accepted> {
        self.recent.iter().find(|accepted| accepted.id == id)
    }

    /// The changes that lead from `base` to the state here, if all are still kept.
    pub fn changes_since(&self, base: &SheetBase) -> Option<Vec<AcceptedChange>> {
        let builds = |change: &AcceptedChange| change.publication.base.as_ref() == Some(base);
        let start = self.tail.iter().position(builds)?;
        Some(self.tail.iter().skip(start).cloned().collect())
    }

    /// Takes in a batch that was asked for from `from`.
    ///
    /// Records that were folded in already are passed over. If records between
    /// the fold's place and the batch are gone, the batch waits for a state.
    pub fn read(&mut self, from: u64, batch: LogBatch) {
        let start = from.max(batch.first_offset);
        if start > self.next_offset() {
            if from > self.next_offset() {
                return;
            }
            self.waiting = Some(Waiting {
                first: start,
                next: start,
                entries: VecDeque::new(),
            });
        }
        for entry in batch.entries {
            if entry.offset >= self.next_offset() {
                self.take(entry.offset, entry.record);
            } else if let LogRecord::Publication(publication) = &entry.record {
                self.restart(entry.offset, publication);
            }
        }
        self.move_to(batch.next_offset);
    }

    /// Takes in changes that another daemon has found accepted.
    pub fn merge_changes(&mut self, changes: &[AcceptedChange]) {
        for change in changes {
            let publication = &change.publication;
            let builds_here = publication.base == Some(self.base());
            let through = self.through.max(change.offset + 1);
            if builds_here && self.publish(change.offset, publication) {
                self.through = through;
                self.replay();
            }
        }
    }

    /// Takes in the state of another daemon, if it is higher than the one here.
    pub fn merge_state(&mut self, state: &SheetState) {
        if state.rank() < self.rank() || !state.is_consistent() {
            return;
        }
        if state.base() == self.base() {
            self.through = self.through.max(state.through);
        } else {
            self.adopt(state);
        }
        self.replay();
    }

    /// Ends the wait for older records: the history of this id was started here and needs none.
    pub fn begin_history(&mut self, id: &str) {
        let Some(offset) = self.accepted(id).and_then(|accepted| accepted.offset) else {
            return;
        };
        self.through = self.through.max(offset + 1);
        if let Some(waiting) = &mut self.waiting {
            waiting.first = waiting.first.min(self.through);
        }
        self.replay();
    }

    /// Takes a new history that stands below the records read: the log itself has started anew.
    ///
    fn restart(&mut self, offset: u64, publication: &Publication) {
        if publication.base.is_none() && self.publish(offset, publication) {
            self.through = offset + 1;
            self.waiting = None;
        }
    }

    fn take(&mut self, offset: u64, record: LogRecord) {
        if self.waiting.is_some() {
            return self.take_waiting(offset, record);
        }
        if let LogRecord::Publication(publication) = &record {
            self.publish(offset, publication);
        }
        self.through = offset + 1;
    }

    /// Without the records before it, only a whole state or a new history can be used.
    ///
    /// A new history does not end the wait, since the record may be a late copy.
    fn take_waiting(&mut self, offset: u64, record: LogRecord) {
        match &record {
            LogRecord::Publication(publication) if publication.base.is_none() => {
                self.publish(offset, publication);
            }
            LogRecord::Checkpoint(state) if state.through <= offset => {
                self.keep_waiting(offset, LogRecord::Checkpoint(state.clone()));
                return self.merge_state(state);
            }
            _ => {}
        }
        self.keep_waiting(offset, record);
    }

    fn keep_waiting(&mut self, offset: u64, record: LogRecord) {
        let Some(waiting) = &mut self.waiting else {
            return;
        };
        waiting.next = offset + 1;
        if matches!(record, LogRecord::Publication(_)) {
            waiting.entries.push_back((offset, record));
        }
        if waiting.entries.len() > MAX_WAITING_RECORDS
            && let Some((dropped, _)) = waiting.entries.pop_front()
        {
            waiting.first = dropped + 1;
        }
    }

    /// Folds in the waiting records if nothing is missing before them any more: a state is
    /// current only with every record after it.
    fn replay(&mut self) {
        let through = self.through;
        let Some(waiting) = self.waiting.take_if(|waiting| waiting.first <= through) else {
            return;
        };
        for (offset, record) in waiting.entries {
            if offset >= self.through {
                self.take(offset, record);
            }
        }
        self.through = self.through.max(waiting.next);
    }

    fn move_to(&mut self, next_offset: u64) {
        match &mut self.waiting {
            Some(waiting) => waiting.next = waiting.next.max(next_offset),
            None => self.through = self.through.max(next_offset),
        }
    }

    /// Accepts or rejects a publication; true if it is now in force.
    fn publish(&mut self, offset: u64, publication: &Publication) -> bool {
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
            self.tail.clear();
        }
        self.chain = chain_hash(parent, &sheet, &publication.id, content_hash);
        self.remember(Accepted {
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
            &mut self.tail,
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
        self.tail.clear();
    }

    fn remember(&mut self, accepted: Accepted) {
        push_bounded(&mut self.recent, accepted);
    }
}

/// The first version of a new history: its time in seconds, above what counting reaches.
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
