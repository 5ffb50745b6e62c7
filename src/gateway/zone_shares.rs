/// How far an upstream is from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the availability zone of the host.
    Zone,
    /// In another zone of its region.
    Region,
    /// In another region.
    Remote,
}

/// Part of the slots that online requests use up to which a host sends nothing farther away. Beyond it, some upstreams
/// are full while others have free slots, as hosts know the load of the others only from reports.
const ENOUGH_IN_ZONE: f32 = 0.55;
/// Part from which on the distance between two zones of a region no longer counts: it is a thousandth of the time to a
/// first event, and a request that waits for a slot loses a tenth of a second and more.
const SHORT_IN_ZONE: f32 = 0.9;
/// The same for other regions. A round trip takes an eighth of the time to a first event, and the link is narrow and
/// metered, so requests go there only when those of the region would wait.
const ENOUGH_IN_REGION: f32 = 0.8;
const SHORT_IN_REGION: f32 = 1.1;
/// Greatest weight of a free slot in another region.
const MAX_REMOTE: f32 = 0.5;
/// Least weight of a free slot elsewhere, for upstreams at home that fail in ways that their load does not show.
const MIN_REGION: f32 = 0.01;
const MIN_REMOTE: f32 = 0.001;

/// Online requests and slots of a group of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Requests that upstreams run at a time.
    pub slots: f32,
    /// Online requests of all hosts. Batch items don't count, as they give way.
    pub online: f32,
}

/// Loads of the upstreams that a request may use, by their distance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoads {
    /// In the zone of the host.
    pub zone: ZoneLoad,
    /// In the other zones of its region.
    pub region: ZoneLoad,
    /// In other regions.
    pub remote: ZoneLoad,
}

/// Weights of a free slot by its distance: how much of the requests leaves the zone, and the region.
///
/// Answers the load of a zone whose own upstreams are too few at times. The shares grow with the load at home, from
/// nothing to the weight that the distance itself leaves, so many hosts that decide alike do not swing between zones; and
/// they follow each report, so requests return home as soon as there is room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShares {
    /// Weight in the zone of the host.
    pub zone: f32,
    /// Weight in other zones of the region.
    pub region: f32,
    /// Weight in other regions.
    pub remote: f32,
}

impl ZoneLoads {
    /// Load at a distance.
    pub fn of_mut(&mut self, distance: Distance) -> &mut ZoneLoad {
        match distance {
            Distance::Zone => &mut self.zone,
            Distance::Region => &mut self.region,
            Distance::Remote => &mut self.remote,
        }
    }
}

impl ZoneLoad {
    /// Part of the slots that online requests use; 1 and more if there are no slots.
    fn utilization(&self) -> f32 {
        if self.slots <= 0.0 {
            return f32::INFINITY;
        }
        self.online / self.slots
    }

    fn with(&self, other: &Self) -> Self {
        Self { slots: self.slots + other.slots, online: self.online + other.online }
    }
}

impl ZoneShares {
    /// Decides the shares for these loads.
    pub fn of(loads: &ZoneLoads) -> Self {
        let at_home = loads.zone.utilization();
        let near = loads.zone.with(&loads.region).utilization();
        let region = ramp(at_home, ENOUGH_IN_ZONE, SHORT_IN_ZONE);
        let remote = ramp(near, ENOUGH_IN_REGION, SHORT_IN_REGION) * MAX_REMOTE;
        Self { zone: 1.0, region: region.max(MIN_REGION), remote: remote.max(MIN_REMOTE) }
    }

    /// Weight at a distance.
    pub fn of_distance(&self, distance: Distance) -> f32 {
        match distance {
            Distance::Zone => self.zone,
            Distance::Region => self.region,
            Distance::Remote => self.remote,
        }
    }
}

/// 0 up to `low`, 1 from `high` on, and even in between.
fn ramp(value: f32, low: f32, high: f32) -> f32 {
    ((value - low) / (high - low)).clamp(0.0, 1.0)
}
