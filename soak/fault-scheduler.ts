/** Runs a fault schedule and records each disturbance. */
import {setTimeout as wait} from 'node:timers/promises';
import type {FaultInjector} from './fault-injector.js';
import type {PlannedFault} from './planned-fault.js';
import type {SoakRecord} from './soak-record.js';
import type {SoakEnvironment} from './soak-environment.js';

const plannedKinds: ReadonlySet<PlannedFault['kind']> = new Set(['entry-stop', 'entry-hup', 'worker-drain', 'configuration']);
const basePrefix = '/base/';
/** Sets of additional routes, published in turn so that routes are added, removed and added again. */
const routeSets = [[], ['/one/'], ['/one/', '/two/'], ['/two/', '/three/'], ['/three/']];

/** Injects planned faults at their times; faults may overlap. */
export class FaultScheduler {
	#publications = 0;

	constructor(private readonly environment: SoakEnvironment, private readonly injector: FaultInjector, private readonly record: SoakRecord) {}

	/** Injects each fault at its time after `startedAt`, and resolves when all have been reverted. */
	async run(plan: readonly PlannedFault[], startedAt: number): Promise<void> {
		await Promise.all(plan.map(async fault => {
			await until(startedAt + fault.at);
			await this.#run(fault);
		}));
		this.record.healedAt = Date.now();
	}

	/** Publishes the next set of routes; the base route is always included. */
	async publish(): Promise<void> {
		const prefixes = [basePrefix, ...routeSets[this.#publications % routeSets.length]!];
		this.#publications += 1;
		const {version, isAccepted} = await this.environment.operator.publish(prefixes);
		// Without an acknowledgement it is unknown whether the change takes effect.
		this.record.publications.push({version, ackedAt: isAccepted ? Date.now() : Number.POSITIVE_INFINITY, prefixes: new Set(prefixes)});
	}

	async #run(fault: PlannedFault): Promise<void> {
		const {kind, duration, index} = fault;
		const disturbance = {
			kind,
			entry: this.injector.entryOf(fault)?.instance,
			isPlanned: plannedKinds.has(kind),
			isOfStore: kind.startsWith('store-'),
			from: Date.now(),
			to: Number.POSITIVE_INFINITY,
		};
		this.record.disturbances.push(disturbance);
		if (kind === 'configuration') {
			await this.publish();
		} else if (kind === 'worker-drain') {
			const {worker, acceptedAt} = await this.environment.drainWorker(index % this.environment.workerCount);
			this.record.drains.push({worker, ackedAt: acceptedAt ?? Number.POSITIVE_INFINITY});
		} else {
			const revert = await this.injector.inject(fault);
			await until(disturbance.from + duration);
			await revert();
		}

		disturbance.to = Date.now();
	}
}

async function until(time: number): Promise<void> {
	await wait(Math.max(0, time - Date.now()));
}
