/** Metrics in the Prometheus text format. */
import {Metrics} from './metrics.js';

/** Upper bounds of the histogram buckets in milliseconds, from the answer of a target to the longest jobs. */
const bucketBounds = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000] as const;

type Tags = Readonly<Record<string, string>>;
const noTags: Tags = {};

type Histogram = {readonly counts: number[]; sum: number; count: number};

/** Keeps counters, gauges and histograms in memory and renders them in the Prometheus text format. */
export class TextMetrics extends Metrics {
	readonly #counters = new Map<string, number>();
	readonly #gauges = new Map<string, number>();
	/** Rendered keys by the identity of the tags object, which frequent callers reuse, and by name. */
	readonly #counterKeys = new WeakMap<Tags, Map<string, string>>();
	readonly #gaugeKeys = new WeakMap<Tags, Map<string, string>>();
	readonly #histogramKeys = new WeakMap<Tags, Map<string, string>>();
	readonly #histograms = new Map<string, Histogram>();

	override count(name: string, by = 1, tags: Tags = noTags): void {
		const key = cachedKey(this.#counterKeys, name, '_total', tags);
		this.#counters.set(key, (this.#counters.get(key) ?? 0) + by);
	}

	override gauge(name: string, value: number): void {
		this.#gauges.set(cachedKey(this.#gaugeKeys, name, '', noTags), value);
	}

	override timing(name: string, milliseconds: number, tags: Tags = noTags): void {
		const key = cachedKey(this.#histogramKeys, name, '_milliseconds', tags);
		const histogram = this.#histograms.get(key) ?? this.#addHistogram(key);
		const bucket = bucketBounds.findIndex(bound => milliseconds <= bound);
		if (bucket !== -1) {
			histogram.counts[bucket]! += 1;
		}

		histogram.sum += milliseconds;
		histogram.count += 1;
	}

	/** Renders all metrics, one sample per line. */
	render(): string {
		const lines: string[] = [];
		for (const [key, value] of [...this.#counters, ...this.#gauges]) {
			lines.push(`${key} ${value}`);
		}

		for (const [key, histogram] of this.#histograms) {
			lines.push(...renderHistogram(key, histogram));
		}

		return `${lines.join('\n')}\n`;
	}

	#addHistogram(key: string): Histogram {
		const histogram = {counts: Array.from({length: bucketBounds.length}, () => 0), sum: 0, count: 0};
		this.#histograms.set(key, histogram);
		return histogram;
	}
}

function cachedKey(cache: WeakMap<Tags, Map<string, string>>, name: string, suffix: string, tags: Tags): string {
	let keys = cache.get(tags);
	if (keys === undefined) {
		keys = new Map();
		cache.set(tags, keys);
	}

	let key = keys.get(name);
	if (key === undefined) {
		key = renderKey(`${name}${suffix}`, tags);
		keys.set(name, key);
	}

	return key;
}

function renderKey(name: string, tags: Tags): string {
	const labels = Object.entries(tags).map(([tag, value]) => `${tag}="${value}"`);
	return `savorylock_${name}${labels.length === 0 ? '' : `{${labels.join(',')}}`}`;
}

function renderHistogram(key: string, {counts, sum, count}: Histogram): readonly string[] {
	const [name = '', labels = ''] = key.split(/[\{\}]/v);
	const suffixed = (suffix: string, label = '') => {
		const all = [labels, label].filter(part => part !== '').join(',');
		return `${name}_${suffix}${all === '' ? '' : `{${all}}`}`;
	};

	let cumulative = 0;
	const buckets = bucketBounds.map((bound, index) => {
		cumulative += counts[index]!;
		return `${suffixed('bucket', `le="${bound}"`)} ${cumulative}`;
	});
	return [...buckets, `${suffixed('bucket', 'le="+Inf"')} ${count}`, `${suffixed('sum')} ${Math.round(sum)}`, `${suffixed('count')} ${count}`];
}
