/** Job dependencies for tests. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import {Random} from '../../src/base/random.js';
import type {JobDependencies} from '../../src/features/jobs/job-dependencies.js';
import {RetryBudget} from '../../src/features/jobs/retry-budget.js';
import {VariantGuard} from '../../src/features/jobs/variant-guard.js';
import {ZoneSelector} from '../../src/features/jobs/zone-selector.js';
import type {SlotClient} from '../../src/features/placement/slot-client.js';
import {NoopMetrics} from '../../src/runtime/metrics/noop-metrics.js';
import type {TargetDriver} from '../../src/runtime/targets/target-driver.js';
import type {FakeClock} from './fake-clock.js';
import {RecordingJournal} from './recording-journal.js';

/** Creates dependencies with two zones; zone-1 is the entry's own. */
export function createJobDependencies(clock: FakeClock, slots: SlotClient, driver: TargetDriver): JobDependencies & {readonly journal: RecordingJournal} {
	const journal = new RecordingJournal();
	const zones = ['zone-1', 'zone-2'] as AvailabilityZone[];
	return {
		clock, journal, metrics: new NoopMetrics(), driver, slots, budget: new RetryBudget(), guard: new VariantGuard(journal), zones: new ZoneSelector(zones[0]!, zones, clock, new Random(1)),
	};
}
