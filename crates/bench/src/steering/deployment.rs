//! Emulated deployments with their sizes, delays and records.

use skylark_core::catalog;
use skylark_core::record;
use skylark_core::unit;

/// Number of regions of a deployment; each has two availability zones.
pub const REGIONS: usize = 3;
const ZONES: usize = 6;

/// A deployment with one service under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// 12 targets of 5 slots, 3 ms between zones, 35 ms between regions.
    Board,
    /// 14 targets of 8 slots, 5 ms between zones, 20 ms between regions.
    Mwakyusa,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Board, Self::Mwakyusa];

    /// Returns the name that reports print.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Board => "board",
            Self::Mwakyusa => "mwakyusa",
        }
    }

    /// Returns the number of targets.
    pub const fn targets(self) -> usize {
        match self {
            Self::Board => 12,
            Self::Mwakyusa => 14,
        }
    }

    /// Returns the number of slots of each target.
    pub const fn slots(self) -> u32 {
        match self {
            Self::Board => 5,
            Self::Mwakyusa => 8,
        }
    }

    /// Returns the number of entry hosts.
    pub const fn hosts(self) -> usize {
        match self {
            Self::Board => 9,
            Self::Mwakyusa => 10,
        }
    }

    /// Returns the one-way delay between two zones, in microseconds.
    pub const fn delay(self, from: usize, to: usize) -> u64 {
        let (zone_delay, region_delay) = match self {
            Self::Board => (3_000, 35_000),
            Self::Mwakyusa => (5_000, 20_000),
        };
        if from == to {
            0
        } else if from / 2 == to / 2 {
            zone_delay
        } else {
            region_delay
        }
    }

    /// Returns the zone of the target or entry host with this index.
    pub const fn zone(index: usize) -> usize {
        index % ZONES
    }

    /// Returns the name that records use for a zone.
    pub fn zone_name(zone: usize) -> String {
        format!("r{}-{}", zone / 2, zone % 2)
    }

    /// Builds the catalog from the records of the deployment.
    pub fn catalog(self) -> catalog::Catalog {
        let documents = record::parse(&self.records_yaml()).unwrap_or_default();
        catalog::Catalog::new(unit::Version::new(1), &documents).unwrap_or_default()
    }

    fn records_yaml(self) -> String {
        let zone_delay = self.delay(0, 1);
        let region_delay = self.delay(0, 2);
        let region = |region: usize| {
            let zones = [Self::zone_name(region * 2), Self::zone_name(region * 2 + 1)].join(", ");
            format!(
                "schema: 1\nregion: {{name: r{region}, zones: [{zones}], delay: {zone_delay}us}}\n"
            )
        };
        let link = |(from, to): (usize, usize)| {
            format!(
                "schema: 1\nlink: {{name: l{from}{to}, between: [r{from}, r{to}], \
                 bandwidth: 1000Mbit/s, delay: {region_delay}us}}\n"
            )
        };
        let target = |index: usize| {
            let zone = Self::zone_name(Self::zone(index));
            let port = 9_000 + index;
            let slots = self.slots();
            format!(
                "schema: 1\ntarget: {{name: t-{index:02}, service: stock, zone: {zone}, \
                 address: '127.0.0.1:{port}', slots: {slots}, connections: 390}}\n"
            )
        };
        let mut yaml = vec![SERVICE_RECORD.to_owned()];
        yaml.extend((0..REGIONS).map(region));
        yaml.extend([(0, 1), (0, 2), (1, 2)].map(link));
        yaml.extend((0..self.targets()).map(target));
        yaml.join("---\n")
    }
}

const SERVICE_RECORD: &str = "schema: 1
service:
  name: stock
  routes:
    - {methods: [GET], path: /stock, access: open, idempotent: true}
  deadline: 2s
  queue: 64
  objective: {good: 99.9%, within: 250ms}
";
