/** Metrics for an entry without a metrics server. */
import {Metrics} from './metrics.js';

/** Discards all measurements. */
export class NoopMetrics extends Metrics {
	override count(): void {
		// Discarded.
	}

	override gauge(): void {
		// Discarded.
	}

	override timing(): void {
		// Discarded.
	}
}
