//! The sample fleet of each user: records, instances and where they are.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::{Display, FromStr};

use crate::error::{Error, ErrorKind, Result};
use crate::journal::member::InstancePlace;
use crate::model::amount::{MemoryMib, MilliCores};
use crate::model::id::{InstanceId, PoolId, ZoneId};
use crate::model::resource::ResourceSet;
use crate::record::document::{RecordDocument, RecordKind};
use crate::record::fault::RecordFault;
use crate::record::source::RecordSource;

/// Availability zones of the sample fleets.
pub const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
/// Instances of a rack.
const RACK_SIZE: usize = 4;

/// The user whose records the trial uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr, clap::ValueEnum)]
pub enum TrialUser {
    /// Guardanieve Instalaciones.
    #[display("guardanieve")]
    Guardanieve,
    /// Dialworks.
    #[display("dialworks")]
    Dialworks,
}

impl TrialUser {
    fn text(self) -> &'static str {
        match self {
            Self::Guardanieve => include_str!("../../examples/guardanieve.yaml"),
            Self::Dialworks => include_str!("../../examples/dialworks.yaml"),
        }
    }

    /// Instances of each pool, as the comments of the sample records say.
    fn pool_sizes(self) -> &'static [(&'static str, usize)] {
        match self {
            Self::Guardanieve => &[
                ("quotation", 10),
                ("layout", 8),
                ("dispatch", 12),
                ("invoicing", 8),
                ("warranty", 8),
                ("renders", 12),
                ("spare", 8),
            ],
            Self::Dialworks => &[
                ("adeola", 10),
                ("bankole", 8),
                ("chidi", 8),
                ("danjuma", 12),
                ("proofs", 8),
                ("bench", 10),
                ("archive", 8),
                ("spare", 8),
            ],
        }
    }

    /// Memory of an instance, in mebibytes.
    fn memory(self) -> MemoryMib {
        match self {
            Self::Guardanieve => MemoryMib::new(64 << 10),
            Self::Dialworks => MemoryMib::new(128 << 10),
        }
    }

    /// The sample records, checked.
    ///
    /// # Errors
    /// `bad_record` with the first fault.
    pub fn documents(self) -> Result<Vec<RecordDocument>> {
        let mut source = RecordSource::default();
        let name: Arc<str> = Arc::from(format!("examples/{self}.yaml"));
        source.add_bytes(&name, self.text().as_bytes());
        match source
            .check(&[])
            .iter()
            .find(|fault| RecordFault::is_error(fault))
        {
            Some(fault) => Err(Error::new(ErrorKind::BadRecord, fault.to_string())),
            None => Ok(source.documents),
        }
    }

    /// Records other than plans, and the plans.
    ///
    /// # Errors
    /// `bad_record` with the first fault.
    pub fn documents_and_plans(self) -> Result<(Vec<RecordDocument>, Vec<RecordDocument>)> {
        let documents = self.documents()?.into_iter();
        Ok(documents.partition(|document| document.kind != RecordKind::Plan))
    }

    /// Instances with pool and place, without addresses. Each pool is spread over all zones, four instances to a
    /// rack.
    ///
    /// # Errors
    /// None in practice: the names are valid.
    pub fn instances(self) -> Result<Vec<SampleInstance>> {
        let mut instances = Vec::new();
        let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for (pool, size) in self.pool_sizes() {
            for index in 0..*size {
                let zone = ZONES[index % ZONES.len()];
                let count = in_zone.entry(zone).or_default();
                let rack = *count / RACK_SIZE + 1;
                *count += 1;
                instances.push(SampleInstance {
                    instance: format!("{pool}-{:02}", index + 1).parse()?,
                    pool: pool.parse()?,
                    zone: zone.parse()?,
                    place: InstancePlace {
                        region: "home".parse()?,
                        zone: zone.parse()?,
                        rack: format!("{zone}-r{rack}").parse()?,
                        resources: ResourceSet::new(MilliCores::new(32_000), self.memory()),
                        address: Arc::from("127.0.0.1:0"),
                    },
                });
            }
        }
        Ok(instances)
    }
}

/// An instance of a sample fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SampleInstance {
    /// Id.
    pub instance: InstanceId,
    /// Pool.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Place; the address is filled in when the stand-in runs.
    pub place: InstancePlace,
}
