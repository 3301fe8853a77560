//! Domain types: VMs, availability zones, links, callers, backend servers,
//! contracts, planning sheets and requests.
//!
//! These types depend on neither sockets nor an async runtime. The decisions,
//! the network layer, the stand-ins and the commands share them.

pub mod announcement;
pub mod clock;
pub mod contract;
pub mod key;
pub mod link;
pub mod names;
pub mod outcome;
pub mod request;
pub mod sheet;
pub mod sheet_change;
pub mod vm;

pub use announcement::{Announcement, ServerState};
pub use clock::{Clock, TimeMs};
pub use contract::{Contract, Importance};
pub use key::{CallKey, Ticket, TicketId};
pub use link::{Distance, Link};
pub use names::{
    AuthorName, CallerName, OrganisationName, RegionName, RequestName, ServiceName, ZoneName,
};
pub use outcome::{Answer, NotRun, NotRunReason, Outcome, UnknownReason};
pub use request::{CallContext, RootId, SheetVersion};
pub use sheet::{CallerShare, Rule, Sheet, SheetContent};
pub use sheet_change::{ServiceRules, SheetChange, SheetHash};
pub use vm::{Incarnation, Place, Vm, WorkerId};
