/** Draws what happens in a world whose entries stand still. */
import fc from 'fast-check';
import type {FaultSchedule} from './fault-schedule.js';

type Pause = FaultSchedule['pauses'][number];
type CallerPlan = FaultSchedule['callers'][number];

const lastBeginMilliseconds = 1500;
/** Mostly the first one: what matters is what several faults do to the same entry and its jobs. */
const entry = fc.oneof(fc.constant(0), fc.nat({max: 3}));
const begin = fc.nat({max: lastBeginMilliseconds});
/** A connection is made anew within a round of the event loop, or after a redial or two. */
const redial = fc.oneof(fc.nat({max: 20}), fc.nat({max: 300}));
/** Beyond the silence after which an entry is lost, or within it. */
const breakBegin = fc.oneof(fc.nat({max: 900}), fc.nat({max: 3000}));

const breakage: fc.Arbitrary<Pause['breakage']> = fc.record({
	peers: fc.nat({max: 15}),
	how: fc.constantFrom('reset', 'silent'),
	after: breakBegin,
	losesUnread: fc.boolean(),
	ownAfter: redial,
	othersAfter: redial,
});

const caller: fc.Arbitrary<CallerPlan> = fc.record({
	at: begin,
	tasks: fc.integer({min: 1, max: 8}),
	runs: fc.integer({min: 50, max: 6000}),
	patience: fc.constantFrom(1500, 10_000, 60_000),
	entries: fc.tuple(entry, entry, entry),
	losses: fc.tuple(...[1, 2, 3].map(() => fc.option(fc.integer({min: 20, max: 4000}), {nil: undefined}))),
});

/** With pauses of at most so long. */
export function faultScheduleArbitrary(longestPauseMilliseconds: number): fc.Arbitrary<FaultSchedule> {
	const pause: fc.Arbitrary<Pause> = fc.record({
		at: fc.nat({max: 2 * lastBeginMilliseconds}),
		entry,
		lasts: fc.integer({min: 500, max: longestPauseMilliseconds}),
		waking: fc.record({first: fc.constantFrom('network', 'timers'), countsPause: fc.boolean(), socketOrder: fc.nat({max: 5039})}),
		breakage,
	});
	return fc.record({
		pauses: fc.array(pause, {minLength: 1, maxLength: 3}),
		resets: fc.array(fc.record({
			at: fc.nat({max: 8000}), entry, other: entry, redialAfter: redial,
		}), {maxLength: 2}),
		targetFaults: fc.array(fc.record({
			at: begin,
			target: fc.nat({max: 7}),
			lasts: fc.integer({min: 200, max: 3000}),
			how: fc.constantFrom('late', 'silent', 'loses answers', 'loses reports', 'loses start answers', 'loses starts', 'refuses', 'restarts'),
			late: fc.integer({min: 50, max: 3000}),
		}), {maxLength: 1}),
		departures: fc.array(fc.record({at: fc.nat({max: 8000}), entry, how: fc.constantFrom('leave', 'kill')}), {maxLength: 1}),
		callers: fc.array(caller, {minLength: 1, maxLength: 4}),
	});
}
