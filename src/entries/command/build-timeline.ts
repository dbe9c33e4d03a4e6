/** Builds the timeline of one job, task, target or entry from logs. */
import {eventCatalogue} from '../../runtime/journal/event-catalogue.js';
import type {LogLine} from './log-line.js';

/** Events of the targets and entries involved are included up to this distance in time. */
const nearbyMilliseconds = 3000;

/** Events included if they name a target or entry that is involved. */
const relatedEvents = new Set([
	'poolMemberLost',
	'poolMemberMet',
	'targetSilent',
	'targetAnswers',
	'targetEjected',
	'targetBack',
	'sessionEnded',
	'targetOwned',
	'targetReleased',
	'targetDropped',
	'catalogueChanged',
	'targetEntryPassedOver',
	'targetRestarted',
]);
/** Events included for every process that logged the id, since they affect all of its requests. */
const processEvents = new Set([
	'edgeStarted',
	'edgeStopping',
	'edgeStopped',
	'processPaused',
	'eventLoopDelayed',
	'touchLost',
	'storeAway',
	'storeBack',
	'errorUnhandled',
	'linesDropped',
	'routingChanged',
	'zoneEvacuated',
]);

/**
 * Returns the lines that name the id, and related lines close to them in time, ordered by time. Empty if no line names
 * the id.
 */
export function buildTimeline(lines: readonly LogLine[], id: string): readonly string[] {
	const matching = lines.filter(line => mentions(line, id));
	if (matching.length === 0) {
		return [];
	}

	const from = Math.min(...matching.map(line => line.at)) - nearbyMilliseconds;
	const to = Math.max(...matching.map(line => line.at)) + nearbyMilliseconds;
	const participants = new Set<unknown>(matching.flatMap(({fields}) => [fields.target, fields.owner, fields.requester, fields.member]).filter(participant => participant !== undefined));
	const sources = new Set(matching.map(line => line.source));
	const selected = lines.filter(line => {
		if (mentions(line, id)) {
			return true;
		}

		const isNear = line.at >= from && line.at <= to;
		const isRelated = relatedEvents.has(line.event) && (participants.has(line.fields.target) || participants.has(line.fields.member));
		return isNear && (isRelated || (processEvents.has(line.event) && sources.has(line.source)));
	});
	const [first] = matching;
	return [...selected].sort((left, right) => left.at - right.at).map(line => formatLine(line, first!.at));
}

function mentions({fields}: LogLine, id: string): boolean {
	return Object.values(fields).some(value => value === id || (typeof value === 'string' && value.startsWith(`${id}.`)));
}

function formatLine({source, at, event, fields}: LogLine, since: number): string {
	const meaning = event in eventCatalogue ? eventCatalogue[event as keyof typeof eventCatalogue].meaning : 'an event of another version';
	const details = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(' ');
	const offset = at - since;
	return `${offset >= 0 ? '+' : ''}${offset} ms  ${source}  ${event}: ${meaning}  ${details}`;
}
