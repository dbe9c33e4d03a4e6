/** The callers of a soak. */
import {Agent, request} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import type {Random} from '../src/base/random.js';
import {jobBody} from '../standins/job-body.js';
import {crashingPayload} from '../standins/worker/crashing-payload.js';
import type {Attempt} from './attempt.js';
import type {EdgeProcess} from './edge-process.js';
import {soakBounds} from './soak-bounds.js';
import type {SoakPlan} from './soak-plan.js';
import type {SoakRecord} from './soak-record.js';
import {soakHost} from './soak-host.js';

const attemptsOfJob = 3;
const mostTasks = 4;
const shortestMilliseconds = 30;
const longestMilliseconds = 250;
/** One job in so many can never be done. */
const hopelessOneIn = 40;
/** Where entries pause, so many jobs run for up to so long; half of their callers hang up at a time of their own. */
const longOneIn = 12;
const longJobMilliseconds = 3000;
const longPatienceMilliseconds = 20_000;
const longHangUpMilliseconds = 3000;
const readinessMilliseconds = 250;
const probeMilliseconds = 150;
/** Callers wait a little longer than they say, for the way back. */
const graceMilliseconds = 150;
/** Callers that share their connections. */
const connectionGroups = 6;
const probedPrefixes = ['/base/', '/one/', '/two/', '/three/'];
const statusLost: ReadonlySet<number> = new Set([502, 504]);

/** Without an agent, on a connection of its own. */
type Call = {readonly agent?: Agent; readonly address: string; readonly method: 'GET' | 'POST'; readonly path: string; readonly body?: string; readonly patience?: number; readonly hangsUpAfter?: number | undefined};
type Answer = {readonly status: number; readonly body: string} | {readonly failure: string};

/**
 * Send jobs to entries that say they are ready, keep their connections, and send a job again after a loss, to any entry.
 * Beside that each entry is asked what routes it has.
 */
export class Callers {
	readonly #agents = Array.from({length: connectionGroups}, () => new Agent({keepAlive: true}));
	readonly #open = new Set<Promise<void>>();
	#ready: readonly EdgeProcess[] = [];
	#isOver = false;
	#jobs = 0;

	constructor(
		private readonly entries: readonly EdgeProcess[],
		private readonly random: Random,
		private readonly record: SoakRecord,
		private readonly plan: Pick<SoakPlan, 'crashingOneIn' | 'longestPause'>,
	) {}

	/** Sends jobs at a mean rate for so long, then waits for the last answers. */
	async play(milliseconds: number, jobsPerSecond: number): Promise<void> {
		const watching = Promise.all([this.#watchReadiness(), this.#probeRoutes()]);
		const endsAt = Date.now() + milliseconds;
		while (Date.now() < endsAt) {
			this.#open.add(this.#submit());
			await wait(this.random.below(2000 / jobsPerSecond));
		}

		await Promise.all(this.#open);
		this.#isOver = true;
		await watching;
	}

	/** Waits until an entry is ready. */
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

	dispose(): void {
		for (const agent of this.#agents) {
			agent.destroy();
		}
	}

	async #submit(): Promise<void> {
		this.#jobs += 1;
		const group = this.#agents[this.random.below(connectionGroups)]!;
		const isLong = this.plan.longestPause > 0 && this.random.below(longOneIn) === 0;
		const milliseconds = (isLong ? longestMilliseconds : shortestMilliseconds) + this.random.below(isLong ? longJobMilliseconds : longestMilliseconds - shortestMilliseconds);
		const patience = isLong ? longPatienceMilliseconds : soakBounds.patience;
		const isHopeless = this.random.below(hopelessOneIn) === 0;
		const isCrashing = this.plan.crashingOneIn > 0 && this.#jobs % this.plan.crashingOneIn === 0;
		const job = {
			id: this.#jobs.toString(16).padStart(16, '0'), tasks: 1 + this.random.below(mostTasks), payload: isCrashing ? crashingPayload : (isHopeless ? 'hopeless' : String(milliseconds)), attempts: [] as Attempt[],
		};
		this.record.jobs.push(job);
		const body = jobBody({tasks: job.tasks, payload: job.payload, expectedMilliseconds: milliseconds});
		while (job.attempts.length < attemptsOfJob) {
			const entry = this.#chooseEntry();
			const attempt: Attempt = {
				entry: entry.instance, life: entry.incarnation, sentAt: Date.now(), endedAt: undefined, outcome: undefined,
			};
			job.attempts.push(attempt);
			const answer = await call({
				agent: group, address: entry.front, method: 'POST', path: `/base/${job.id}`, body, patience, hangsUpAfter: isLong && this.random.below(2) === 0 ? shortestMilliseconds + this.random.below(longHangUpMilliseconds) : undefined,
			});
			attempt.endedAt = Date.now();
			attempt.outcome = outcomeOf(answer);
			if (!isLost(attempt)) {
				return;
			}

			await wait(soakBounds.resubmission);
		}
	}

	#chooseEntry(): EdgeProcess {
		const candidates = this.#ready.length === 0 ? this.entries : this.#ready;
		return candidates[this.random.below(candidates.length)]!;
	}

	async #watchReadiness(): Promise<void> {
		while (!this.#isOver) {
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
		while (!this.#isOver) {
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

function isLost({outcome}: Attempt): boolean {
	return outcome?.kind !== 'answer' || statusLost.has(outcome.status);
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
		// An answer that can't be read has no state; the invariants count it as none.
		return undefined;
	}
}

async function call({agent, address, method, path, body = '', patience = soakBounds.patience, hangsUpAfter}: Call): Promise<Answer> {
	return new Promise(resolve => {
		const [host, port] = address.split(':');
		const outgoing = request({
			agent,
			host,
			port,
			method,
			path,
			headers: {
				host: soakHost, 'content-type': 'application/json', 'content-length': body.length, 'deadline-ms': patience,
			},
		});
		const timer = setTimeout(() => {
			resolve({failure: hangsUpAfter === undefined ? 'expired' : 'left'});
			outgoing.destroy();
		}, hangsUpAfter ?? patience + graceMilliseconds);
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
