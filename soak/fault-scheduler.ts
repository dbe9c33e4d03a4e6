/** Plays a plan of faults, and notes what was disturbed when. */
import {setTimeout as wait} from 'node:timers/promises';
import type {FaultInjector} from './fault-injector.js';
import type {PlannedFault} from './planned-fault.js';
import type {SoakRecord} from './soak-record.js';
import type {SoakEnvironment} from './soak-environment.js';

const planned: ReadonlySet<PlannedFault['kind']> = new Set(['entry-stop', 'entry-hup', 'worker-drain', 'configuration']);
const basePrefix = '/base/';
/** Sets of routes beside the base route, published by turns: routes come, go, and come again. */
const churn = [[], ['/one/'], ['/one/', '/two/'], ['/two/', '/three/'], ['/three/']];

/** Faults run beside each other; the injector is done when all are healed. */
export class FaultScheduler {
	#publications = 0;

	constructor(private readonly world: SoakEnvironment, private readonly strike: FaultInjector, private readonly record: SoakRecord) {}

	async play(plan: readonly PlannedFault[], startedAt: number): Promise<void> {
		await Promise.all(plan.map(async fault => {
			await until(startedAt + fault.at);
			await this.#play(fault);
		}));
		this.record.healedAt = Date.now();
	}

	/** Publishes one of several sets of routes; the base route stays. */
	async publish(): Promise<void> {
		const prefixes = [basePrefix, ...churn[this.#publications % churn.length]!];
		this.#publications += 1;
		const {version, isAccepted} = await this.world.operator.publish(prefixes);
		// What wasn't acknowledged may be in force, or never be.
		this.record.publications.push({version, ackedAt: isAccepted ? Date.now() : Number.POSITIVE_INFINITY, prefixes: new Set(prefixes)});
	}

	async #play(fault: PlannedFault): Promise<void> {
		const {kind, lasts, index} = fault;
		const disturbance = {
			kind,
			entry: this.strike.entryOf(fault)?.instance,
			isPlanned: planned.has(kind),
			isOfStore: kind.startsWith('store-'),
			from: Date.now(),
			to: Number.POSITIVE_INFINITY,
		};
		this.record.disturbances.push(disturbance);
		if (kind === 'configuration') {
			await this.publish();
		} else if (kind === 'worker-drain') {
			const {worker, acceptedAt} = await this.world.drainWorker(index % this.world.workerCount);
			this.record.drains.push({worker, ackedAt: acceptedAt ?? Number.POSITIVE_INFINITY});
		} else {
			const heal = await this.strike.begin(fault);
			await until(disturbance.from + lasts);
			await heal();
		}

		disturbance.to = Date.now();
	}
}

async function until(time: number): Promise<void> {
	await wait(Math.max(0, time - Date.now()));
}
