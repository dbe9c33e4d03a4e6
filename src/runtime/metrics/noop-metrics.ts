/** Metrics for an entry without a metrics server. */
import {Metrics} from './metrics.js';

/** Drops everything. */
export class NoopMetrics extends Metrics {
	override count(): void {
		// Nobody listens.
	}

	override gauge(): void {
		// Nobody listens.
	}

	override timing(): void {
		// Nobody listens.
	}
}
