/** Services that a running job uses. */
import type {Clock} from '../../base/clock.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Metrics} from '../../runtime/metrics/metrics.js';
import type {TargetDriver} from '../../runtime/targets/target-driver.js';
import type {SlotClient} from '../placement/slot-client.js';
import type {RetryBudget} from './retry-budget.js';
import type {VariantGuard} from './variant-guard.js';
import type {ZoneSelector} from './zone-selector.js';

/** Shared by all running jobs of an entry. */
export type JobDependencies = {
	readonly clock: Clock;
	readonly journal: Journal;
	readonly metrics: Metrics;
	readonly driver: TargetDriver;
	readonly slots: SlotClient;
	readonly budget: RetryBudget;
	readonly guard: VariantGuard;
	readonly zones: ZoneSelector;
};
