/** Speeds of the targets that an entry owns. */
import type {InstanceId} from '../../base/instance-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {TargetRecord} from '../targets/target-record.js';
import {RecentSamples} from './recent-samples.js';

/** At about ten ends per second and target, a changed speed is known after two or three seconds. */
const samplesPerTarget = 31;
const samplesPerLabel = 200;
/** Labels with fewer samples aren't used as a prior. */
const minimumLabelSamples = 8;
/** The prior counts as much as this number of samples of the target. */
const priorSamples = 4;
/** Estimates from fewer samples than this may be off by a quarter, which is what an event reports. */
const minimumEventSamples = samplesPerTarget;
/** A target that is within this distance of its labels, as a logarithm, has their slowdown, which is based on more samples. */
const equalLogarithm = 0.15;
/** An event is recorded when the slowdown has changed by more than this factor. */
const eventFactor = 1.25;
/** Part of a run that doesn't depend on the speed: the delivery of the order and of the report. */
const overheadMilliseconds = 3;
/** Runs of this length get half the weight of very long ones, whose overhead is negligible. */
const halfWeightMilliseconds = 100;
/** Limits of the slowdown. A target beyond them is treated as faulty rather than slow. */
const leastSlowdown = 0.25;
const greatestSlowdown = 4;
/** Limit of the time that an overdue run is granted for the slowdown, so that a failing target can't extend it gradually. */
const greatestAllowance = 2.5;
/** Every target has this label, so that targets without a known one get the estimate for all targets. */
const commonLabel = '';

/** A task that succeeded; the expected time includes the cost of running it far from its data. */
type TaskEnd = {readonly runMilliseconds: number; readonly expectedMilliseconds: number};

type TargetState = {samples: RecentSamples; readonly labels: readonly string[]; logarithm: number; recordedSlowdown: number};

/**
 * Learns for each owned target how long it takes relative to the expected time of the same tasks: the target slowdown, 1 for a
 * normal target and below 1 for a faster one. Until a target has samples of its own, it has the slowdown of its labels.
 */
export class TargetSpeeds {
	readonly #targets = new Map<InstanceId, TargetState>();
	readonly #labels = new Map<string, RecentSamples>();

	constructor(private readonly journal: Journal) {}

	/** The slowdowns of all owned targets. */
	get slowdowns(): readonly number[] {
		return [...this.#targets.keys()].map(id => this.slowdown(id));
	}

	/** Starts to learn the speeds of new targets, and discards what is known of all others and of their labels. */
	retain(records: Iterable<TargetRecord>): void {
		const owned = new Map([...records].map(record => [record.id, record]));
		for (const id of this.#targets.keys()) {
			if (!owned.has(id)) {
				this.#targets.delete(id);
			}
		}

		for (const [id, {labels}] of owned) {
			const known = this.#targets.get(id);
			this.#targets.set(id, {...(known ?? createState()), labels: [...labels, commonLabel]});
		}

		const inUse = new Set([...this.#targets.values()].flatMap(({labels}) => labels));
		for (const label of this.#labels.keys()) {
			if (!inUse.has(label)) {
				this.#labels.delete(label);
			}
		}
	}

	/** Resets a target that restarted: the new incarnation may have another speed. */
	forget(target: InstanceId): void {
		const known = this.#targets.get(target);
		if (known !== undefined) {
			this.#targets.set(target, {...createState(), labels: known.labels, recordedSlowdown: known.recordedSlowdown});
		}
	}

	record(target: InstanceId, {runMilliseconds, expectedMilliseconds}: TaskEnd): void {
		const state = this.#targets.get(target);
		if (state === undefined || expectedMilliseconds < 1) {
			return;
		}

		const logarithm = Math.log(Math.max(1, runMilliseconds - overheadMilliseconds) / expectedMilliseconds);
		const weight = expectedMilliseconds / (expectedMilliseconds + halfWeightMilliseconds);
		state.samples.add(logarithm, weight);
		for (const label of state.labels) {
			const samples = this.#labels.get(label) ?? new RecentSamples(samplesPerLabel);
			this.#labels.set(label, samples);
			samples.add(logarithm, weight);
		}

		state.logarithm = this.#estimate(state);
		this.#recordChange(target, state);
	}

	/** The slowdown of a target; 1 for one that isn't owned. */
	slowdown(target: InstanceId): number {
		const state = this.#targets.get(target);
		if (state === undefined) {
			return 1;
		}

		return slowdownOf(state.samples.count === 0 ? this.#priorOf(state.labels) : state.logarithm);
	}

	/**
	 * The factor by which a run may take longer on the target before it is overdue. It is not below 1: the expected times are too
	 * inaccurate to treat the runs of fast targets more strictly.
	 */
	allowance(target: InstanceId): number {
		return Math.min(greatestAllowance, Math.max(1, this.slowdown(target)));
	}

	#estimate({samples, labels}: TargetState): number {
		const prior = this.#priorOf(labels);
		const {count, centre} = samples;
		return Math.abs(centre - prior) <= equalLogarithm ? prior : ((count * centre) + (priorSamples * prior)) / (count + priorSamples);
	}

	/** The estimate for the label whose targets differ least in speed. */
	#priorOf(labels: readonly string[]): number {
		let best: RecentSamples | undefined;
		for (const label of labels) {
			const samples = this.#labels.get(label);
			if (samples !== undefined && samples.count >= minimumLabelSamples && (best === undefined || samples.spread < best.spread)) {
				best = samples;
			}
		}

		return best?.centre ?? 0;
	}

	#recordChange(target: InstanceId, state: TargetState): void {
		const slowdown = slowdownOf(state.logarithm);
		const ratio = slowdown / state.recordedSlowdown;
		if (state.samples.count < minimumEventSamples || Math.max(ratio, 1 / ratio) <= eventFactor) {
			return;
		}

		this.journal.record('targetSpeedChanged', {
			target, slowdown, formerSlowdown: state.recordedSlowdown, samples: state.samples.count,
		});
		state.recordedSlowdown = slowdown;
	}
}

function createState(): TargetState {
	return {
		samples: new RecentSamples(samplesPerTarget), labels: [], logarithm: 0, recordedSlowdown: 1,
	};
}

/** Rounded to two decimals, as published. */
function slowdownOf(logarithm: number): number {
	return Math.round(100 * Math.min(greatestSlowdown, Math.max(leastSlowdown, Math.exp(logarithm)))) / 100;
}
