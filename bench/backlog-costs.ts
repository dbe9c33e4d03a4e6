/** What the exchange of backlogs and the forecast cost, measured in memory. */
import {performance} from 'node:perf_hooks';
import {BacklogExchange} from '../src/features/backlog/backlog-exchange.js';
import {FleetForecast} from '../src/features/dispatch/fleet-forecast.js';
import {schedulingSettingsSchema} from '../src/features/dispatch/scheduling-settings-schema.js';
import {encodeBacklog} from '../src/features/pool/encode-backlog.js';
import {cbor} from '../src/runtime/peers/cbor.js';
import {PooledCluster} from '../test/support/pooled-cluster.js';

const settlingMilliseconds = 3000;
/** A whole number of intervals of all reports. */
const measuredMilliseconds = 4000;
const stepMilliseconds = 5;

/** Each target has places for two tasks. */
type FleetSize = {readonly zones: number; readonly entriesInZone: number; readonly targetsInZone: number};

/** Per second and entry, except for the largest report. */
type BacklogCosts = {
	readonly entries: number;
	readonly reports: number;
	readonly bytes: number;
	/** Of all frames, without those of the transport. */
	readonly frameBytes: number;
	readonly largestBytes: number;
	/** Processor time of the exchange and the forecast, in milliseconds. */
	readonly milliseconds: number;
};

type Meter = {reports: number; bytes: number; frameBytes: number; largestBytes: number; milliseconds: number; isNested: boolean};

/** `jobsPerSecond` is for each entry; the jobs are alike, with 4 tasks of 200 ms. */
export async function measureBacklogs({zones, entriesInZone, targetsInZone}: FleetSize, jobsPerSecond: number): Promise<BacklogCosts> {
	const meter: Meter = {
		reports: 0, bytes: 0, frameBytes: 0, largestBytes: 0, milliseconds: 0, isNested: false,
	};
	const restore = [
		...(['reportFor', 'receive', 'view'] as const).map(method => time(BacklogExchange.prototype, method, meter)),
		...(['refusalOf', 'recordWaiting', 'recordStart', 'recordEnd', 'recordFreeCapacity'] as const).map(method => time(FleetForecast.prototype, method, meter)),
	];
	const scheduling = schedulingSettingsSchema.parse({refusalForecast: {enabled: true}});
	const names = Array.from({length: zones * entriesInZone}, (_, index) => `z${index % zones}-${Math.floor(index / zones)}`);
	const world = new PooledCluster(names, targetsInZone, (_, dependencies) => ({...dependencies, scheduling}));
	for (const endpoint of world.network.endpoints.values()) {
		endpoint.onDidReceive(({message}) => {
			meter.frameBytes += cbor.encode(message.body).length;
		});
	}

	await world.startWithPeerList();
	await world.advance(settlingMilliseconds);
	Object.assign(meter, {
		reports: 0, bytes: 0, frameBytes: 0, largestBytes: 0, milliseconds: 0,
	});
	let jobs = 0;
	for (let passed = 0; passed < measuredMilliseconds; passed += stepMilliseconds) {
		for (const name of names) {
			const due = Math.floor((passed + stepMilliseconds) * jobsPerSecond / 1000) - Math.floor(passed * jobsPerSecond / 1000);
			for (let left = due; left > 0; left -= 1) {
				jobs += 1;
				world.submit(name, jobs.toString(16).padStart(16, '0'), {tasks: 4, payload: '200', declaredMilliseconds: 200});
			}
		}

		await world.advance(stepMilliseconds);
	}

	for (const undo of restore) {
		undo();
	}

	const perSecond = (amount: number) => Math.round(amount * 100_000 / measuredMilliseconds / names.length) / 100;
	return {
		entries: names.length,
		reports: perSecond(meter.reports),
		bytes: perSecond(meter.bytes),
		frameBytes: perSecond(meter.frameBytes),
		largestBytes: meter.largestBytes,
		milliseconds: perSecond(meter.milliseconds),
	};
}

/** Replaces a method by one that adds its processor time to the meter; returns a function that restores it. */
function time<Name extends string>(prototype: Record<Name, (...parameters: never[]) => unknown>, name: Name, meter: Meter): () => void {
	const original = prototype[name];
	prototype[name] = function (this: unknown, ...parameters) {
		if (meter.isNested) {
			return original.apply(this, parameters);
		}

		meter.isNested = true;
		const startedAt = performance.now();
		const result = original.apply(this, parameters);
		meter.milliseconds += performance.now() - startedAt;
		meter.isNested = false;
		if (name === 'reportFor' && result !== undefined) {
			const {length} = cbor.encode(encodeBacklog(result as Parameters<typeof encodeBacklog>[0]));
			meter.reports += 1;
			meter.bytes += length;
			meter.largestBytes = Math.max(meter.largestBytes, length);
		}

		return result;
	};

	return () => {
		prototype[name] = original;
	};
}
