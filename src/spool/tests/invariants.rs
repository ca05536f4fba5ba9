use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Operation {
    Open { tenant: usize, protected: bool },
    AddPage { spool: usize, bytes: u64 },
    Complete { spool: usize },
    Fail { spool: usize },
    AttachReader { spool: usize },
    DetachReader { spool: usize, read_to_end: bool },
    AdvanceClock { ms: u32 },
    WriteToDisk(WriteOutcome),
    Admit { tenant: usize, protected: bool },
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        3 => (0..3usize, any::<bool>()).prop_map(|(tenant, protected)| Operation::Open { tenant, protected }),
        8 => (0..8usize, 1..60 * KB).prop_map(|(spool, bytes)| Operation::AddPage { spool, bytes }),
        3 => (0..8usize).prop_map(|spool| Operation::Complete { spool }),
        1 => (0..8usize).prop_map(|spool| Operation::Fail { spool }),
        2 => (0..8usize).prop_map(|spool| Operation::AttachReader { spool }),
        2 => (0..8usize, any::<bool>())
            .prop_map(|(spool, read_to_end)| Operation::DetachReader { spool, read_to_end }),
        1 => (0..700u32).prop_map(|ms| Operation::AdvanceClock { ms }),
        1 => (0..3usize).prop_map(|outcome| Operation::WriteToDisk(disk_outcomes()[outcome].clone())),
        1 => (0..3usize, any::<bool>()).prop_map(|(tenant, protected)| Operation::Admit { tenant, protected }),
    ];
    prop::collection::vec(operation, 1..150)
}

fn disk_outcomes() -> [WriteOutcome; 3] {
    [
        WriteOutcome::Success,
        WriteOutcome::Full,
        WriteOutcome::Failed("broken".into()),
    ]
}

fn request(tenant: usize, protected: bool) -> AdmissionRequest {
    if protected {
        load(tenant)
    } else {
        report(tenant)
    }
}

/// Expected state of a spool.
#[derive(Clone, Copy)]
struct ExpectedSpool {
    protected: bool,
    complete: bool,
    readers: usize,
}

/// An index and the expected state of its spools.
struct Model {
    index: SpoolIndex,
    now: Millis,
    spools: BTreeMap<SpoolId, ExpectedSpool>,
}

impl Model {
    fn pick(&self, position: usize, filter: impl Fn(&ExpectedSpool) -> bool) -> Option<SpoolId> {
        let ids: Vec<SpoolId> = self
            .spools
            .iter()
            .filter(|(_, spool)| filter(spool))
            .map(|(id, _)| *id)
            .collect();
        ids.get(position % ids.len().max(1)).copied()
    }

    fn run(&mut self, operation: Operation) -> Result<(), TestCaseError> {
        match operation {
            Operation::Open { tenant, protected } => self.open(tenant, protected)?,
            Operation::AddPage { spool, bytes } => self.add_page(spool, bytes)?,
            Operation::Complete { spool } => {
                if let Some(id) = self.pick(spool, |_| true) {
                    self.index.complete(self.now, id);
                    self.spools.get_mut(&id).unwrap().complete = true;
                }
            }
            Operation::Fail { spool } => {
                // Any spool is picked, and only an incomplete one fails.
                let picked = self.pick(spool, |_| true);
                if let Some(id) = picked.filter(|id| !self.spools[id].complete) {
                    self.index.fail(id);
                    self.spools.remove(&id);
                }
            }
            Operation::AttachReader { spool } => {
                if let Some(id) = self.pick(spool, |_| true) {
                    prop_assert!(self.index.attach_reader(self.now, id));
                    self.spools.get_mut(&id).unwrap().readers += 1;
                }
            }
            Operation::DetachReader { spool, read_to_end } => {
                let picked = self.pick(spool, |_| true);
                if let Some(id) = picked.filter(|id| self.spools[id].readers > 0) {
                    self.index.detach_reader(self.now, id, read_to_end);
                    self.spools.get_mut(&id).unwrap().readers -= 1;
                }
            }
            Operation::AdvanceClock { ms } => self.advance_clock(f64::from(ms))?,
            Operation::WriteToDisk(outcome) => {
                self.index.record_disk_write(self.now, 1.0, outcome);
            }
            Operation::Admit { tenant, protected } => {
                self.index.admit(self.now, request(tenant, protected));
            }
        }
        Ok(())
    }

    fn open(&mut self, tenant: usize, protected: bool) -> Result<(), TestCaseError> {
        let Ok(opened) = self.index.open(self.now, request(tenant, protected)) else {
            return Ok(());
        };
        let expected = ExpectedSpool {
            protected,
            complete: false,
            readers: 0,
        };
        self.spools.insert(opened.id, expected);
        self.check_evictions(&opened.commands, protected)
    }

    fn add_page(&mut self, position: usize, bytes: u64) -> Result<(), TestCaseError> {
        let Some(id) = self.pick(position, |spool| !spool.complete) else {
            return Ok(());
        };
        let protected = self.spools[&id].protected;
        let outcome = self.index.add_page(self.now, id, bytes);
        if outcome.placement.is_err() {
            self.index.fail(id);
            self.spools.remove(&id);
        }
        self.check_evictions(&outcome.commands, protected)
    }

    fn advance_clock(&mut self, ms: Millis) -> Result<(), TestCaseError> {
        self.now += ms;
        for id in self.index.expire(self.now) {
            let expired = self.spools.remove(&id).unwrap();
            prop_assert!(expired.complete);
            prop_assert_eq!(expired.readers, 0);
        }
        Ok(())
    }

    /// Only complete spools without readers are evicted, and protected ones only for protected ones.
    fn check_evictions(
        &mut self,
        commands: &[SpoolCommand],
        for_protected: bool,
    ) -> Result<(), TestCaseError> {
        for command in commands {
            let SpoolCommand::Evict(id) = command else {
                continue;
            };
            let Some(evicted) = self.spools.remove(id) else {
                continue;
            };
            prop_assert!(
                evicted.complete && evicted.readers == 0,
                "{} was in use",
                id
            );
            prop_assert!(
                for_protected || !evicted.protected,
                "a protected result was evicted for another"
            );
        }
        Ok(())
    }

    fn check_invariants(&self, limits: &SpoolLimits) -> Result<(), TestCaseError> {
        let index = &self.index;
        prop_assert!(index.is_consistent());
        prop_assert!(index.usage().memory_bytes <= limits.memory_bytes);
        prop_assert!(index.usage().disk_bytes <= limits.disk_bytes.unwrap_or(0));
        for tenant_bytes in index.bytes_by_tenant().values() {
            prop_assert!(*tenant_bytes <= limits.tenant_bytes);
        }
        prop_assert!(index.len() <= limits.max_spools);
        prop_assert_eq!(index.len(), self.spools.len());
        prop_assert!(self.spools.keys().all(|id| index.contains(*id)));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// The totals match the spools and stay within the limits, and no spool is removed while it is read or
    /// incomplete, or if it is protected from the result that needs the capacity.
    #[test]
    fn limits_hold_and_evictions_are_legitimate(operations in operations()) {
        let limits = SpoolLimits { max_spools: 6, ..limits() };
        let mut model = Model {
            index: SpoolIndex::new(limits.clone(), 2),
            now: 0.0,
            spools: BTreeMap::new(),
        };
        for operation in operations {
            model.run(operation)?;
            model.check_invariants(&limits)?;
        }
    }
}
