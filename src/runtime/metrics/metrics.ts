/** Counters, gauges and timings for operators. */

/** Sends measurements; never blocks and never fails its caller. Names are listed in docs/METRICS.md. */
export abstract class Metrics {
	abstract count(name: string, by?: number, tags?: Readonly<Record<string, string>>): void;

	abstract gauge(name: string, value: number): void;

	abstract timing(name: string, milliseconds: number, tags?: Readonly<Record<string, string>>): void;
}
