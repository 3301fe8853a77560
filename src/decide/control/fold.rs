//! The fold of the sheet stream: every reader of the same records ends at the same sheet.

use std::sync::Arc;

use super::record::Publication;
use crate::model::Sheet;

/// The sheet in force, as far as the records have been read.
#[derive(Debug)]
pub struct SheetFold {
    sheet: Arc<Sheet>,
}

impl Default for SheetFold {
    fn default() -> Self {
        SheetFold {
            sheet: Arc::new(Sheet::none()),
        }
    }
}

impl SheetFold {
    /// The sheet in force.
    pub fn sheet(&self) -> &Arc<Sheet> {
        &self.sheet
    }

    /// Takes in a publication. It is accepted only if it builds on the sheet then in force.
    pub fn apply(&mut self, publication: &Publication) {
        if publication.base != self.sheet.version {
            return;
        }
        self.sheet = Arc::new(Sheet {
            version: publication.base.next(),
            author: publication.author.clone(),
            published_ms: publication.published_ms,
            rules: publication.rules.clone(),
            shares: publication.shares.clone(),
        });
    }
}
