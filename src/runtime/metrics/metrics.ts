/** Operational metrics. */

/** Records counters, gauges and timings without blocking or throwing; docs/METRICS.md lists their names. */
export abstract class Metrics {
	/** Increments a counter. */
	abstract count(name: string, by?: number, tags?: Readonly<Record<string, string>>): void;

	/** Sets the current value of a gauge. */
	abstract gauge(name: string, value: number): void;

	/** Adds a duration to a distribution. */
	abstract timing(name: string, milliseconds: number, tags?: Readonly<Record<string, string>>): void;
}
