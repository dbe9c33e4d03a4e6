/** Counts the messages of a run, and those that were of no use. */
import type {TargetCounters} from '../standins/target/target-counters.js';
import type {BenchResult} from './bench-result.js';
import type {entryCounts} from './entry-counts.js';
import type {JobOutcome} from './job-outcome.js';
import {rounded} from './rounded.js';

type Counts = Awaited<ReturnType<typeof entryCounts>>;
type Traffic = Pick<BenchResult, 'messagesPerTask' | 'bytesPerTask' | 'wastedShare' | 'wastedByKind' | 'entryCpuShare' | 'entryMegabytes' | 'peerFrames'>;

/** What the counting needs. */
type TrafficInput = {
	readonly before: Counts;
	readonly after: Counts;
	readonly truth: readonly TargetCounters[];
	readonly outcomes: readonly JobOutcome[];
	readonly exchanges: number;
	readonly tasks: number;
	readonly seconds: number;
};

/** Kinds of peer frames that keep the entries in touch, and serve no job. */
const controlKinds = new RegExp(`^(?:${[
	'ping|pong|hello|welcome|proof',
	String.raw`membership\/.*|configuration\/.*`,
	String.raw`placement\/(?:renew|holds|heard|who|nobody|alive|aliveReply|recount|inventory|unknown|elsewhere|handover)`,
	String.raw`registry\/(?:join|welcome|enter|state|restored|leftCircle|handover|handoverTaken)`,
].join('|')})$`, 'v');
const refusedKinds = /^placement\/refused$/v;
const duplicateKinds = /^registry\/(?:waiting|redirect|notCopied)$/v;
/** Each entry asks the instance list every 2 s and the log every 10 s, and is answered. */
const platformMessagesPerSecond = 2 * (0.5 + 0.1);

/** A request and its response count as two messages; a frame between entries counts as one. */
export function trafficOf(input: TrafficInput): Traffic {
	const peerFrames = framesOf(input);
	const sum = (key: keyof TargetCounters) => input.truth.reduce((total, truth) => total + truth[key], 0);
	const framesLike = (pattern: RegExp) => Object.entries(peerFrames).reduce((total, [kind, frames]) => total + (pattern.test(kind) ? frames : 0), 0);
	const platform = input.seconds * input.after.size * platformMessagesPerSecond;
	const repeatedExchanges = input.outcomes.reduce((total, outcome) => total + outcome.copies - 1, 0);
	const wasted = {
		refused: (2 * sum('refused')) + (2 * framesLike(refusedKinds)) + (2 * input.outcomes.filter(outcome => outcome.verdict === 'notRun').length),
		duplicate: framesLike(duplicateKinds) + (2 * repeatedExchanges),
		probe: 2 * sum('usageAsked'),
		unwanted: sum('unwanted') + (2 * sum('stopsAsked')),
		control: framesLike(controlKinds) + platform,
	};
	const frames = Object.values(peerFrames).reduce((total, each) => total + each, 0);
	const targetMessages = 2 * (sum('starts') + sum('refused') + sum('usageAsked') + sum('stopsAsked'));
	const messages = frames + targetMessages + (2 * input.exchanges) + platform;
	const wastedMessages = Object.values(wasted).reduce((total, each) => total + each, 0);
	return {
		messagesPerTask: rounded(messages / Math.max(1, input.tasks)),
		bytesPerTask: Math.round(bytesOf(input) / Math.max(1, input.tasks)),
		wastedShare: rounded(wastedMessages / messages),
		wastedByKind: Object.fromEntries(Object.entries(wasted).map(([kind, count]) => [kind, rounded(count / messages)])),
		...processOf(input),
		peerFrames,
	};
}

function framesOf({before, after}: TrafficInput): Readonly<Record<string, number>> {
	const frames = new Map<string, number>();
	for (const [instance, status] of after) {
		for (const [kind, count] of Object.entries(status.peers.sentByKind)) {
			const earlier = before.get(instance)?.peers.sentByKind[kind] ?? 0;
			frames.set(kind, (frames.get(kind) ?? 0) + count - earlier);
		}
	}

	return Object.fromEntries([...frames].sort(([left], [right]) => left.localeCompare(right)));
}

function bytesOf({before, after}: TrafficInput): number {
	return [...after].reduce((sum, [instance, status]) => sum + status.peers.sentBytes - (before.get(instance)?.peers.sentBytes ?? 0), 0);
}

function processOf({before, after, seconds}: TrafficInput): Pick<Traffic, 'entryCpuShare' | 'entryMegabytes'> {
	let cpuMicroseconds = 0;
	let residentBytes = 0;
	for (const [instance, {process}] of after) {
		const earlier = before.get(instance)?.process.cpu;
		cpuMicroseconds += process.cpu.user + process.cpu.system - (earlier === undefined ? 0 : earlier.user + earlier.system);
		residentBytes += process.residentBytes;
	}

	return {
		entryCpuShare: rounded(cpuMicroseconds / 1_000_000 / seconds / Math.max(1, after.size)),
		entryMegabytes: Math.round(residentBytes / Math.max(1, after.size) / 1_048_576),
	};
}
