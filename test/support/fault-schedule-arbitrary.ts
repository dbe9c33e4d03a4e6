/** Generates fault schedules for property tests. */
import fc from 'fast-check';
import type {FaultSchedule} from './fault-schedule.js';

type Pause = FaultSchedule['pauses'][number];
type ScheduledCaller = FaultSchedule['callers'][number];

const latestStartMilliseconds = 1500;
/** Favours the first entry, so that several faults hit the same entry and its jobs. */
const entry = fc.oneof(fc.constant(0), fc.nat({max: 3}));
const startTime = fc.nat({max: latestStartMilliseconds});
/** Covers an immediate reconnection and one after a few redial attempts. */
const redialDelay = fc.oneof(fc.nat({max: 20}), fc.nat({max: 300}));
/** Covers delays below and above the time after which a silent entry counts as lost. */
const disconnectDelay = fc.oneof(fc.nat({max: 900}), fc.nat({max: 3000}));

const disconnection: fc.Arbitrary<Pause['disconnection']> = fc.record({
	peers: fc.nat({max: 15}),
	kind: fc.constantFrom('reset', 'silent'),
	delayMilliseconds: disconnectDelay,
	dropsUnread: fc.boolean(),
	ownRedialDelay: redialDelay,
	peersRedialDelay: redialDelay,
});

const caller: fc.Arbitrary<ScheduledCaller> = fc.record({
	at: startTime,
	tasks: fc.integer({min: 1, max: 8}),
	runMilliseconds: fc.integer({min: 50, max: 6000}),
	timeoutMilliseconds: fc.constantFrom(1500, 10_000, 60_000),
	entries: fc.tuple(entry, entry, entry),
	disconnectTimes: fc.tuple(...[1, 2, 3].map(() => fc.option(fc.integer({min: 20, max: 4000}), {nil: undefined}))),
});

/** Generates schedules with pauses of 500 ms to `longestPauseMilliseconds`. */
export function faultScheduleArbitrary(longestPauseMilliseconds: number): fc.Arbitrary<FaultSchedule> {
	const pause: fc.Arbitrary<Pause> = fc.record({
		at: fc.nat({max: 2 * latestStartMilliseconds}),
		entry,
		durationMilliseconds: fc.integer({min: 500, max: longestPauseMilliseconds}),
		resume: fc.record({first: fc.constantFrom('network', 'timers'), countsPause: fc.boolean(), socketOrder: fc.nat({max: 5039})}),
		disconnection,
	});
	return fc.record({
		pauses: fc.array(pause, {minLength: 1, maxLength: 3}),
		resets: fc.array(fc.record({
			at: fc.nat({max: 8000}), entry, other: entry, redialDelay,
		}), {maxLength: 2}),
		targetFaults: fc.array(fc.record({
			at: startTime,
			target: fc.nat({max: 7}),
			durationMilliseconds: fc.integer({min: 200, max: 3000}),
			kind: fc.constantFrom('late', 'silent', 'loses answers', 'loses reports', 'loses start answers', 'loses starts', 'refuses', 'restarts'),
			startDelay: fc.integer({min: 50, max: 3000}),
		}), {maxLength: 1}),
		departures: fc.array(fc.record({at: fc.nat({max: 8000}), entry, kind: fc.constantFrom('leave', 'kill')}), {maxLength: 1}),
		callers: fc.array(caller, {minLength: 1, maxLength: 4}),
	});
}
