//! Pushes new announcements to zone peers, gateways and subscribers of a service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::seq::IndexedRandom;

use super::{BULK_UPDATES, MemberControl, MemberMessage, UPDATE_FAN_OUT, send};
use crate::decide::control::ControlTurn;
use crate::decide::control::gateways::gateways;
use crate::model::{Announcement, ZoneName};

impl MemberControl {
    /// Pushes the announcements learned since the last push.
    pub(super) fn push_updates(&mut self, turn: &mut ControlTurn<'_>) {
        if self.updates.is_empty() {
            return;
        }
        let updates = std::mem::take(&mut self.updates);
        let (own_zone, elsewhere): (Vec<_>, Vec<_>) = updates
            .into_iter()
            .partition(|known| known.vm.place.zone == self.vm.place.zone);
        if !own_zone.is_empty() {
            self.push_own_zone(turn, &own_zone);
        }
        if self.gateway && !elsewhere.is_empty() {
            self.push_to_gateways(turn, &elsewhere);
            self.push_to_subscribers(turn, &elsewhere);
        }
    }

    pub(super) fn push_own_zone(
        &mut self,
        turn: &mut ControlTurn<'_>,
        updates: &[Arc<Announcement>],
    ) {
        let zone = self.vm.place.zone.clone();
        let fan_out = if updates.len() < BULK_UPDATES {
            UPDATE_FAN_OUT
        } else {
            1
        };
        let mut targets: Vec<SocketAddr> = self
            .zone_peers()
            .sample(turn.rng, fan_out)
            .copied()
            .collect();
        let me = self.vm.worker.address;
        if updates.iter().any(|known| known.vm.worker.address == me) {
            targets.extend(gateways(&self.members, &zone));
        }
        if self.gateway {
            let others: Vec<ZoneName> = self.members.zones().cloned().collect();
            for other in others.iter().filter(|other| **other != zone) {
                targets.extend(gateways(&self.members, other).choose(turn.rng));
            }
        }
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| *target != self.vm.control_address);
        for target in targets {
            send(turn, target, MemberMessage::Known(updates.to_vec()));
        }
    }

    /// Forwards announcements of other zones to the other gateways of this zone: the sender pushes
    /// them to one gateway of each zone only.
    pub(super) fn push_to_gateways(
        &mut self,
        turn: &mut ControlTurn<'_>,
        updates: &[Arc<Announcement>],
    ) {
        let mut others = gateways(&self.members, &self.vm.place.zone);
        others.retain(|other| *other != self.vm.control_address);
        for other in others {
            send(turn, other, MemberMessage::Known(updates.to_vec()));
        }
    }

    pub(super) fn push_to_subscribers(
        &mut self,
        turn: &mut ControlTurn<'_>,
        updates: &[Arc<Announcement>],
    ) {
        let mut by_subscriber: BTreeMap<SocketAddr, Vec<Arc<Announcement>>> = BTreeMap::new();
        for known in updates {
            for subscriber in self.interests.subscribers(&known.service) {
                let wanted = by_subscriber.entry(subscriber).or_default();
                wanted.push(Arc::clone(known));
            }
        }
        for (subscriber, wanted) in by_subscriber {
            send(turn, subscriber, MemberMessage::Known(wanted));
        }
    }
}
