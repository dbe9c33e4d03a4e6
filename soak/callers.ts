/** Generates the job traffic of a soak. */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import type {Random} from '../src/base/random.js';
import {serializeJob} from '../standins/serialize-job.js';
import {crashingPayload} from '../standins/worker/crashing-payload.js';
import type {Attempt} from './attempt.js';
import type {EdgeProcess} from './edge-process.js';
import {soakBounds} from './soak-bounds.js';
import type {SoakPlan} from './soak-plan.js';
import type {SoakRecord} from './soak-record.js';
import {soakHost} from './soak-host.js';
import {varyPayload} from './vary-payload.js';

const maximumAttempts = 3;
const maximumTasks = 4;
const shortestMilliseconds = 30;
const longestMilliseconds = 250;
/** One job in this many has a payload that always fails. */
const failingOneIn = 40;
/** In soaks with pauses or suspensions, one job in this many is long, and half of the callers of long jobs disconnect at a random time. */
const longOneIn = {pauses: 12, suspensions: 4};
const longJobMilliseconds = 3000;
const longTimeoutMilliseconds = 20_000;
/** In soaks with suspensions, half of the long jobs must end within this time beyond their duration. */
const shortMarginMilliseconds = 1500;
const longDisconnectMilliseconds = 3000;
const readinessMilliseconds = 250;
const probeMilliseconds = 150;
/** Time that callers wait beyond their stated deadline, for the response to arrive. */
const responseMarginMilliseconds = 150;
/** Number of connection pools that callers share. */
const connectionPools = 6;
const probedPrefixes = ['/base/', '/one/', '/two/', '/three/'];
const lostStatuses: ReadonlySet<number> = new Set([502, 504]);

/** An HTTP request; without an agent it uses its own connection. Times are in milliseconds. */
type Call = {
	readonly agent?: Agent;
	readonly address: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: string;
	readonly timeout?: number;
	readonly disconnectsAfter?: number | undefined;
};
type Answer = {readonly status: number; readonly body: string} | {readonly failure: string};

/**
 * Submits jobs to ready entries over keep-alive connections, and submits a job again, to any ready entry, if its answer is
 * lost. Also probes every entry for its routes.
 */
export class Callers {
	readonly #agents = Array.from({length: connectionPools}, () => new Agent({keepAlive: true}));
	readonly #pending = new Set<Promise<void>>();
	#ready: readonly EdgeProcess[] = [];
	#isFinished = false;
	#jobs = 0;

	constructor(
		private readonly entries: readonly EdgeProcess[],
		private readonly random: Random,
		private readonly record: SoakRecord,
		private readonly plan: Pick<SoakPlan, 'crashingOneIn' | 'hasVariedPayloads' | 'longestPauseMilliseconds' | 'longestSuspensionMilliseconds'>,
	) {}

	/** Submits jobs at a mean rate for the given time, then waits for the remaining answers. */
	async run(milliseconds: number, jobsPerSecond: number): Promise<void> {
		const monitoring = Promise.all([this.#watchReadiness(), this.#probeRoutes()]);
		const endsAt = Date.now() + milliseconds;
		while (Date.now() < endsAt) {
			this.#pending.add(this.#submit());
			await wait(this.random.below(2000 / jobsPerSecond));
		}

		await Promise.all(this.#pending);
		this.#isFinished = true;
		await monitoring;
	}

	/** Waits until all entries are ready; returns whether they were within the limit. */
	async waitUntilReady(limitMilliseconds: number): Promise<boolean> {
		const limit = Date.now() + limitMilliseconds;
		while (Date.now() < limit) {
			const ready = await Promise.all(this.entries.map(async entry => this.#isReady(entry)));
			if (ready.every(Boolean)) {
				return true;
			}

			await wait(readinessMilliseconds);
		}

		return false;
	}

	/** Closes all connections. */
	dispose(): void {
		for (const agent of this.#agents) {
			agent.destroy();
		}
	}

	async #submit(): Promise<void> {
		this.#jobs += 1;
		const agent = this.#agents[this.random.below(connectionPools)]!;
		const hasSuspensions = this.plan.longestSuspensionMilliseconds > 0;
		const isLong = (hasSuspensions || this.plan.longestPauseMilliseconds > 0) && this.random.below(hasSuspensions ? longOneIn.suspensions : longOneIn.pauses) === 0;
		const milliseconds = (isLong ? longestMilliseconds : shortestMilliseconds) + this.random.below(isLong ? longJobMilliseconds : longestMilliseconds - shortestMilliseconds);
		const isUrgent = isLong && hasSuspensions && this.random.below(2) === 0;
		const timeout = isLong ? (isUrgent ? milliseconds + shortMarginMilliseconds : longTimeoutMilliseconds) : soakBounds.callerTimeout;
		const isFailing = this.random.below(failingOneIn) === 0;
		const isCrashing = this.plan.crashingOneIn > 0 && this.#jobs % this.plan.crashingOneIn === 0;
		const payload = isFailing ? 'hopeless' : String(milliseconds);
		const job = {
			id: this.#jobs.toString(16).padStart(16, '0'),
			tasks: 1 + this.random.below(maximumTasks),
			payload: isCrashing ? crashingPayload : (this.plan.hasVariedPayloads ? varyPayload(payload, this.#jobs) : payload),
			attempts: [] as Attempt[],
		};
		this.record.jobs.push(job);
		const body = serializeJob({tasks: job.tasks, payload: job.payload, expectedMilliseconds: milliseconds});
		while (job.attempts.length < maximumAttempts) {
			const entry = this.#chooseEntry();
			const attempt: Attempt = {
				entry: entry.instance, life: entry.incarnation, sentAt: Date.now(), endedAt: undefined, outcome: undefined,
			};
			job.attempts.push(attempt);
			const answer = await call({
				agent,
				address: entry.front,
				method: 'POST',
				path: `/base/${job.id}`,
				body,
				timeout,
				disconnectsAfter: isLong && this.random.below(2) === 0 ? shortestMilliseconds + this.random.below(longDisconnectMilliseconds) : undefined,
			});
			attempt.endedAt = Date.now();
			attempt.outcome = outcomeOf(answer);
			if (!isAnswerLost(attempt)) {
				return;
			}

			await wait(soakBounds.resubmissionDelay);
		}
	}

	#chooseEntry(): EdgeProcess {
		const candidates = this.#ready.length === 0 ? this.entries : this.#ready;
		return candidates[this.random.below(candidates.length)]!;
	}

	async #watchReadiness(): Promise<void> {
		while (!this.#isFinished) {
			const ready = await Promise.all(this.entries.map(async entry => this.#isReady(entry)));
			this.#ready = this.entries.filter((_, index) => ready[index]);
			await wait(readinessMilliseconds);
		}
	}

	async #isReady(entry: EdgeProcess): Promise<boolean> {
		const answer = await call({address: entry.ready, method: 'GET', path: '/readyz'});
		return 'status' in answer && answer.status === 200;
	}

	async #probeRoutes(): Promise<void> {
		while (!this.#isFinished) {
			const prefix = probedPrefixes[this.random.below(probedPrefixes.length)]!;
			await Promise.all(this.entries.map(async ({instance, incarnation: life, front}) => {
				const sentAt = Date.now();
				const answer = await call({address: front, method: 'GET', path: prefix});
				if ('status' in answer) {
					this.record.probes.push({
						entry: instance, life, prefix, sentAt, status: answer.status,
					});
				}
			}));
			await wait(probeMilliseconds);
		}
	}
}

function isAnswerLost({outcome}: Attempt): boolean {
	return outcome?.kind !== 'answer' || lostStatuses.has(outcome.status);
}

function outcomeOf(answer: Answer): Attempt['outcome'] {
	if ('failure' in answer) {
		return answer.failure === 'expired' || answer.failure === 'left' ? {kind: answer.failure} : {kind: 'broken', detail: answer.failure};
	}

	return {kind: 'answer', status: answer.status, state: stateOf(answer.body)};
}

function stateOf(body: string): string | undefined {
	try {
		return (JSON.parse(body) as {readonly state?: string}).state;
	} catch {
		// The invariants treat an unparsable answer as one without a state.
		return undefined;
	}
}

async function call({agent, address, method, path, body = '', timeout = soakBounds.callerTimeout, disconnectsAfter}: Call): Promise<Answer> {
	return new Promise(resolve => {
		const [host, port] = address.split(':');
		const outgoing = request({
			agent,
			host,
			port,
			method,
			path,
			headers: {
				host: soakHost, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'deadline-ms': timeout,
			},
		});
		const timer = setTimeout(() => {
			resolve({failure: disconnectsAfter === undefined ? 'expired' : 'left'});
			outgoing.destroy();
		}, disconnectsAfter ?? timeout + responseMarginMilliseconds);
		const fail = (error: Error) => {
			clearTimeout(timer);
			resolve({failure: error.message});
		};

		outgoing.on('error', fail);
		outgoing.on('response', response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', (chunk: string) => {
				text += chunk;
			});
			response.on('error', fail);
			response.on('end', () => {
				clearTimeout(timer);
				resolve({status: response.statusCode ?? 0, body: text});
			});
		});
		outgoing.end(body);
	});
}
