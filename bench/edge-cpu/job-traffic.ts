/** Callers that submit the jobs of the second deployment of docs/hard-load.md. */
import {setTimeout as wait} from 'node:timers/promises';
import {Pool} from 'undici';
import type {Random} from '../../src/base/random.js';
import {serializeJob} from '../../standins/serialize-job.js';

/** Shares are per cent of the jobs. */
const kinds = [
	{share: 20, tasks: 8, milliseconds: 55},
	{share: 10, tasks: 4, milliseconds: 800},
	{share: 70, tasks: 2, milliseconds: 190},
] as const;
const meanTasks = kinds.reduce((sum, {share, tasks}) => sum + (share * tasks / 100), 0);
const stretch = 1.6;
const slackMilliseconds = 60;
/** Callers wait for this many objectives. */
const objectivesPerTimeout = 5;
/** Declared run times are off by up to this many per cent. */
const estimateErrorPercent = 40;

/** Counts of answered jobs and their tasks, and of jobs without a complete answer. */
type TrafficCounts = {readonly tasks: number; readonly jobs: number; readonly late: number; readonly unserved: number};

/** Submits to each entry at the same mean rate, at random times, over keep-alive connections. */
export class JobTraffic {
	readonly #pools: readonly Pool[];
	readonly #counts = {
		tasks: 0, jobs: 0, late: 0, unserved: 0,
	};

	constructor(fronts: readonly string[], private readonly host: string, private readonly random: Random) {
		this.#pools = fronts.map(front => new Pool(`http://${front}`, {connections: 64}));
	}

	/** Resolves once all jobs are answered. */
	async run(milliseconds: number, tasksPerSecondAndEntry: number): Promise<TrafficCounts> {
		const jobsPerSecond = tasksPerSecondAndEntry * this.#pools.length / meanTasks;
		const startedAt = performance.now();
		const pending: Array<Promise<void>> = [];
		for (let dueAt = startedAt; dueAt < startedAt + milliseconds; dueAt += this.random.below(2_000_000 / jobsPerSecond) / 1000) {
			await wait(Math.max(0, dueAt - performance.now()));
			pending.push(this.#submit());
		}

		await Promise.all(pending);
		return {...this.#counts};
	}

	async close(): Promise<void> {
		await Promise.all(this.#pools.map(async pool => pool.destroy()));
	}

	async #submit(): Promise<void> {
		this.#counts.jobs += 1;
		const id = this.#counts.jobs.toString(16).padStart(16, '0');
		const draw = this.random.below(100);
		const kind = kinds.find((_, index) => draw < kinds.slice(0, index + 1).reduce((sum, {share}) => sum + share, 0))!;
		const {tasks, milliseconds} = kind;
		const objective = (milliseconds * stretch) + slackMilliseconds;
		const declared = Math.round(milliseconds * (100 - estimateErrorPercent + this.random.below(2 * estimateErrorPercent)) / 100);
		const pool = this.#pools[this.random.below(this.#pools.length)]!;
		const sentAt = performance.now();
		try {
			const response = await pool.request({
				method: 'POST',
				path: `/base/${id}`,
				headers: {host: this.host, 'content-type': 'application/json', 'deadline-ms': String(objective * objectivesPerTimeout)},
				body: serializeJob({tasks, payload: String(milliseconds), expectedMilliseconds: declared}),
			});
			const text = await response.body.text();
			const isServed = response.statusCode === 200 && text.includes('complete');
			this.#counts.tasks += isServed ? tasks : 0;
			this.#counts.unserved += isServed ? 0 : 1;
			this.#counts.late += isServed && performance.now() - sentAt > objective ? 1 : 0;
		} catch {
			// A broken connection.
			this.#counts.unserved += 1;
		}
	}
}
