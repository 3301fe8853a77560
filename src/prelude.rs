//! Re-exports of the most used types of [`crate::model`].

pub use crate::model::{
    Announcement, Answer, CallContext, CallKey, CallerName, Clock, Contract, Distance, Importance,
    Incarnation, NotRun, NotRunReason, OrganisationName, Outcome, Place, RegionName, RequestName,
    RootId, ServerState, ServiceName, Sheet, SheetVersion, Ticket, TicketId, TimeMs, UnknownReason,
    Vm, WorkerId, ZoneName,
};
