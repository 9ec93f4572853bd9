//! Tasks that end, fail or panic are started again until a stop is asked for.

use std::convert;
use std::sync;
use std::sync::atomic;

use skylark_runtime::shutdown;
use skylark_runtime::supervisor;

const FAULTS: u32 = 3;

#[tokio::test]
async fn a_task_that_ends_fails_or_panics_is_started_again_and_others_go_on() {
    let stop = shutdown::Shutdown::new();
    let mut tree = supervisor::Supervisor::new(stop.clone());
    let starts = sync::Arc::new(atomic::AtomicU32::new(0));
    let (counted, asked) = (sync::Arc::clone(&starts), stop.clone());
    tree.spawn("faulty", move || {
        let number = counted.fetch_add(1, atomic::Ordering::SeqCst);
        let asked = asked.clone();
        async move {
            match number {
                0 => Ok(()),
                1 => Err("a fault"),
                2 => panic!("a panic"),
                _ => {
                    asked.request();
                    std::future::pending().await
                }
            }
        }
    });
    let steady = sync::Arc::new(atomic::AtomicU32::new(0));
    let counted = sync::Arc::clone(&steady);
    tree.spawn("steady", move || {
        counted.fetch_add(1, atomic::Ordering::SeqCst);
        std::future::pending::<Result<(), convert::Infallible>>()
    });
    tree.run().await;
    assert_eq!(starts.load(atomic::Ordering::SeqCst), FAULTS + 1);
    assert_eq!(steady.load(atomic::Ordering::SeqCst), 1);
}
