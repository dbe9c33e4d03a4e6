/** The story of one job, task, target or entry from logs. */
import {eventCatalogue} from '../../runtime/journal/event-catalogue.js';
import type {LogLine} from './log-line.js';

/** Events of a target or an entry tell something of a job when they are near it. */
const nearbyMilliseconds = 3000;

/** Events that explain others by the target or entry that they name. */
const context = new Set([
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
/** Events that concern all requests of the process that wrote them. */
const everywhere = new Set(['edgeStarted', 'edgeStopping', 'edgeStopped', 'processPaused', 'touchLost', 'storeAway', 'storeBack', 'errorUnhandled', 'linesDropped', 'routingChanged', 'zoneEvacuated']);

/**
 * Lines that name the id, and near them those that tell of the targets and entries that took part; in the order of time.
 * Empty where no line names the id.
 */
export function buildTimeline(lines: readonly LogLine[], id: string): readonly string[] {
	const own = lines.filter(line => names(line, id));
	if (own.length === 0) {
		return [];
	}

	const from = Math.min(...own.map(line => line.at)) - nearbyMilliseconds;
	const to = Math.max(...own.map(line => line.at)) + nearbyMilliseconds;
	const parties = new Set<unknown>(own.flatMap(line => [line.fields.target, line.fields.owner, line.fields.requester, line.fields.member]).filter(party => party !== undefined));
	const sources = new Set(own.map(line => line.source));
	const story = lines.filter(line => {
		if (names(line, id)) {
			return true;
		}

		const isNear = line.at >= from && line.at <= to;
		const isParty = context.has(line.event) && (parties.has(line.fields.target) || parties.has(line.fields.member));
		return isNear && (isParty || (everywhere.has(line.event) && sources.has(line.source)));
	});
	const [first] = own;
	return [...story].sort((left, right) => left.at - right.at).map(line => describe(line, first!.at));
}

function names({fields}: LogLine, id: string): boolean {
	return Object.values(fields).some(value => value === id || (typeof value === 'string' && value.startsWith(`${id}.`)));
}

function describe({source, at, event, fields}: LogLine, since: number): string {
	const meaning = event in eventCatalogue ? eventCatalogue[event as keyof typeof eventCatalogue].meaning : 'an event of another version';
	const details = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(' ');
	const offset = at - since;
	return `${offset >= 0 ? '+' : ''}${offset} ms  ${source}  ${event}: ${meaning}  ${details}`;
}
