/** Generates schedules for property tests of large fleets. */
import fc from 'fast-check';
import type {FleetSchedule} from './fleet-schedule.js';

type Fault = 'suspensions' | 'masked suspensions' | 'short suspensions' | 'clock steps' | 'slowdowns' | 'lost stops' | 'silent callers' | 'closed connections' | 'lost replies';

/** All faults, in no particular order. */
const allFaults: readonly Fault[] = ['suspensions', 'masked suspensions', 'short suspensions', 'clock steps', 'slowdowns', 'lost stops', 'silent callers', 'closed connections', 'lost replies'];

const latestStartMilliseconds = 3000;
/** Favours a few entries, so that several faults hit the same entry, its peers and its jobs. */
const entry = fc.oneof(fc.nat({max: 8}), fc.nat({max: 37}));
const startTime = fc.nat({max: latestStartMilliseconds});
const fewEntries = fc.uniqueArray(entry, {minLength: 1, maxLength: 9});
/** Below the time after which a process notices a pause, and from that of a caller's next submission on. */
const shortSuspension = fc.integer({min: 100, max: 490});
const longSuspension = fc.integer({min: 1300, max: 6000});

const caller = (isSilent: fc.Arbitrary<boolean>): fc.Arbitrary<FleetSchedule['callers'][number]> => fc.record({
	at: startTime,
	tasks: fc.integer({min: 1, max: 4}),
	runMilliseconds: fc.integer({min: 50, max: 6000}),
	timeoutMilliseconds: fc.constantFrom(1500, 4000, 10_000, 60_000),
	statesRemainingTime: fc.boolean(),
	breaksOnSuspension: fc.boolean(),
	isSilent,
	entries: fc.tuple(entry, entry, entry),
	disconnectTimes: fc.tuple(...[1, 2, 3].map(() => fc.option(fc.integer({min: 20, max: 4000}), {nil: undefined}))),
});

function suspension(has: (fault: Fault) => boolean): fc.Arbitrary<FleetSchedule['suspensions'][number]> {
	const durations = [...(has('suspensions') ? [longSuspension] : []), ...(has('short suspensions') ? [shortSuspension] : [])];
	const suspended = fc.record({
		entry,
		delayMilliseconds: fc.oneof(fc.constant(0), fc.nat({max: 1000})),
		durationMilliseconds: fc.oneof(...durations),
		resume: fc.record({first: fc.constantFrom('network', 'timers'), countsPause: fc.constant(false), socketOrder: fc.nat({max: 5039})}),
		isMasked: has('masked suspensions') ? fc.boolean() : fc.constant(false),
		losesReplies: has('lost replies') ? fc.boolean() : fc.constant(false),
	});
	return fc.record({at: startTime, entries: fc.array(suspended, {minLength: 1, maxLength: 9})});
}

/** Generates schedules with the given faults only. */
export function fleetScheduleArbitrary(faults: readonly string[] = allFaults): fc.Arbitrary<FleetSchedule> {
	const has = (fault: Fault) => faults.includes(fault);
	const limit = (fault: Fault, count: number) => ({maxLength: has(fault) ? count : 0});
	return fc.record({
		entryCount: fc.integer({min: 18, max: 38}),
		targetsInZone: fc.integer({min: 1, max: 6}),
		isListed: fc.boolean(),
		closesIdleConnections: fc.constant(has('closed connections')),
		backgroundTasks: fc.nat({max: 2}),
		suspensions: has('suspensions') || has('short suspensions') ? fc.array(suspension(has), {minLength: 1, maxLength: 3}) : fc.constant([]),
		clockSteps: fc.array(fc.record({
			at: startTime,
			entries: fewEntries,
			milliseconds: fc.oneof(fc.integer({min: 1300, max: 6000}), fc.integer({min: -6000, max: -1300})),
			durationMilliseconds: fc.integer({min: 200, max: 4000}),
		}), limit('clock steps', 2)),
		slowdowns: fc.array(fc.record({
			at: startTime,
			entry,
			delayMilliseconds: fc.integer({min: 100, max: 600}),
			durationMilliseconds: fc.integer({min: 1000, max: 8000}),
		}), limit('slowdowns', 12)),
		lostStops: fc.array(fc.record({
			at: startTime, target: fc.nat({max: 17}), durationMilliseconds: fc.integer({min: 200, max: 4000}),
		}), limit('lost stops', 2)),
		callers: fc.array(caller(has('silent callers') ? fc.boolean() : fc.constant(false)), {minLength: 2, maxLength: 10}),
	});
}
