//! Pushes new announcements to zone peers, gateways and subscribers of a service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::seq::IndexedRandom;

use super::{BULK_NEWS, MemberControl, MemberMessage, PUSH_FANOUT, send};
use crate::decide::control::ControlTurn;
use crate::decide::control::gateways::gateways;
use crate::model::{Announcement, ZoneName};

impl MemberControl {
    /// Pushes the announcements learned since the last push.
    pub(super) fn push_news(&mut self, turn: &mut ControlTurn<'_>) {
        if self.news.is_empty() {
            return;
        }
        let news = std::mem::take(&mut self.news);
        let (own_zone, elsewhere): (Vec<_>, Vec<_>) = news
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

    pub(super) fn push_own_zone(&mut self, turn: &mut ControlTurn<'_>, news: &[Arc<Announcement>]) {
        let zone = self.vm.place.zone.clone();
        let fanout = if news.len() < BULK_NEWS {
            PUSH_FANOUT
        } else {
            1
        };
        let mut targets: Vec<SocketAddr> = self
            .zone_peers()
            .sample(turn.rng, fanout)
            .copied()
            .collect();
        let me = self.vm.worker.address;
        if news.iter().any(|known| known.vm.worker.address == me) {
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
            send(turn, target, MemberMessage::Known(news.to_vec()));
        }
    }

    /// Forwards announcements of other zones to the other gateways of this zone: the sender pushes
    /// them to one gateway of each zone only.
    pub(super) fn push_to_gateways(
        &mut self,
        turn: &mut ControlTurn<'_>,
        news: &[Arc<Announcement>],
    ) {
        let mut others = gateways(&self.members, &self.vm.place.zone);
        others.retain(|other| *other != self.vm.control_address);
        for other in others {
            send(turn, other, MemberMessage::Known(news.to_vec()));
        }
    }

    pub(super) fn push_to_subscribers(
        &mut self,
        turn: &mut ControlTurn<'_>,
        news: &[Arc<Announcement>],
    ) {
        let mut by_subscriber: BTreeMap<SocketAddr, Vec<Arc<Announcement>>> = BTreeMap::new();
        for known in news {
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
