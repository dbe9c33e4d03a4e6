/** Speeds of the targets that an entry owns. */
import type {InstanceId} from '../../base/instance-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {TargetRecord} from '../targets/target-record.js';
import {RecentSamples} from './recent-samples.js';

/** At about ten ends per second and target, a changed speed is known after two or three seconds. */
const samplesPerTarget = 31;
/** A target that is no longer chosen gets no samples; without a limit of their age, it would keep an outdated slowdown for ever. */
const sampleRetentionMilliseconds = 5000;
/** Labels of which fewer targets are known aren't used as a prior: a single target says nothing of the others with its label. */
const minimumLabelTargets = 3;
/** The same for the samples of these targets together. */
const minimumLabelSamples = 8;
/** How long after its latest sample a target counts for its labels. */
const labelRetentionMilliseconds = 30_000;
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
/** Limits of the slowdown; estimates beyond them are clamped. */
const leastSlowdown = 0.25;
const greatestSlowdown = 4;
/** Limit of the time that an overdue run is granted for the slowdown, so that a failing target can't extend it gradually. */
const greatestAllowance = 2.5;
/** Every target has this label, so that targets without a known one get the estimate for all targets. */
const commonLabel = '';

/** A task that succeeded; the expected time includes the cost of running it far from its data. */
type TaskEnd = {readonly runMilliseconds: number; readonly expectedMilliseconds: number};

/** The centre of a target's latest samples, their number, and the monotonic time of the last one. */
type Observation = {readonly centre: number; readonly count: number; readonly at: number};

/** An estimate for a label, as a logarithm, and how much its targets differ. */
type Summary = {readonly centre: number; readonly spread: number};

type TargetState = {
	readonly samples: RecentSamples;
	readonly labels: readonly string[];
	/** Undefined until the target has samples. */
	observation: Observation | undefined;
	/** The estimate while there are samples. */
	logarithm: number;
	recordedSlowdown: number;
};

/**
 * Learns for each owned target how long it takes relative to the expected time of the same tasks: the target slowdown, 1 for a
 * normal target and below 1 for a faster one. Until a target has samples of its own, it has the slowdown of its labels.
 */
export class TargetSpeeds {
	readonly #targets = new Map<InstanceId, TargetState>();
	/** Estimates for labels, until an observation arrives or expires; undefined for labels with too few of them. */
	readonly #labels = new Map<string, Summary | undefined>();
	#labelsExpireAt = Number.POSITIVE_INFINITY;

	constructor(private readonly journal: Journal) {}

	/** The slowdowns of all owned targets. */
	slowdowns(now: number): readonly number[] {
		return [...this.#targets.keys()].map(id => this.slowdown(id, now));
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

		this.#forgetLabels();
	}

	/** Resets a target that restarted: the new incarnation may have another speed. */
	forget(target: InstanceId): void {
		const known = this.#targets.get(target);
		if (known !== undefined) {
			this.#targets.set(target, {...createState(), labels: known.labels, recordedSlowdown: known.recordedSlowdown});
			this.#forgetLabels();
		}
	}

	/** Records the end of a task at the given monotonic time. */
	record(target: InstanceId, {runMilliseconds, expectedMilliseconds}: TaskEnd, now: number): void {
		const state = this.#targets.get(target);
		if (state === undefined || expectedMilliseconds < 1) {
			return;
		}

		const {samples} = state;
		const logarithm = Math.log(Math.max(1, runMilliseconds - overheadMilliseconds) / expectedMilliseconds);
		samples.add(logarithm, expectedMilliseconds / (expectedMilliseconds + halfWeightMilliseconds), now);
		state.observation = {centre: samples.centre, count: samples.count, at: now};
		this.#forgetLabels();
		state.logarithm = this.#estimate(state, now);
		this.#recordChange(target, state);
	}

	/** The slowdown of a target at a monotonic time; 1 for one that isn't owned. */
	slowdown(target: InstanceId, now: number): number {
		const state = this.#targets.get(target);
		if (state === undefined) {
			return 1;
		}

		if (state.samples.removeExpired(now) && state.samples.count > 0) {
			state.logarithm = this.#estimate(state, now);
		}

		return slowdownOf(state.samples.count === 0 ? this.#priorOf(state.labels, now) : state.logarithm);
	}

	/**
	 * The factor by which a run may take longer on the target before it is overdue. It is not below 1: the expected times are too
	 * inaccurate to treat the runs of fast targets more strictly.
	 */
	allowance(target: InstanceId, now: number): number {
		return Math.min(greatestAllowance, Math.max(1, this.slowdown(target, now)));
	}

	#estimate({samples, labels}: TargetState, now: number): number {
		const prior = this.#priorOf(labels, now);
		const {count, centre} = samples;
		return Math.abs(centre - prior) <= equalLogarithm ? prior : ((count * centre) + (priorSamples * prior)) / (count + priorSamples);
	}

	/** The estimate for the label whose targets differ least in speed. */
	#priorOf(labels: readonly string[], now: number): number {
		if (now > this.#labelsExpireAt) {
			this.#forgetLabels();
		}

		let best: Summary | undefined;
		for (const label of labels) {
			const summary = this.#summaryOf(label, now);
			if (summary !== undefined && (best === undefined || summary.spread < best.spread)) {
				best = summary;
			}
		}

		return best?.centre ?? 0;
	}

	#summaryOf(label: string, now: number): Summary | undefined {
		if (!this.#labels.has(label)) {
			this.#labels.set(label, this.#summarize(label, now));
		}

		return this.#labels.get(label);
	}

	/** Each target counts once, so that one with many runs doesn't decide for the others. */
	#summarize(label: string, now: number): Summary | undefined {
		const centres = new RecentSamples(Math.max(1, this.#targets.size));
		let samples = 0;
		for (const {observation, labels} of this.#targets.values()) {
			if (observation !== undefined && now - observation.at <= labelRetentionMilliseconds && labels.includes(label)) {
				centres.add(observation.centre);
				samples += observation.count;
				this.#labelsExpireAt = Math.min(this.#labelsExpireAt, observation.at + labelRetentionMilliseconds);
			}
		}

		const isKnown = centres.count >= minimumLabelTargets && samples >= minimumLabelSamples;
		return isKnown ? {centre: centres.centre, spread: centres.spread} : undefined;
	}

	#forgetLabels(): void {
		this.#labels.clear();
		this.#labelsExpireAt = Number.POSITIVE_INFINITY;
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
		samples: new RecentSamples(samplesPerTarget, sampleRetentionMilliseconds), labels: [], observation: undefined, logarithm: 0, recordedSlowdown: 1,
	};
}

/** Rounded to two decimals, as published. */
function slowdownOf(logarithm: number): number {
	return Math.round(100 * Math.min(greatestSlowdown, Math.max(leastSlowdown, Math.exp(logarithm)))) / 100;
}
