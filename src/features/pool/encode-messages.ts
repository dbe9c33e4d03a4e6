/** Encodes messages of the pool. */
import type {Resources} from '../../base/resources.js';
import type {RunOutcome} from '../execution/run-outcome.js';
import type {RunRequest} from '../execution/run-request.js';
import type {EntryState} from './entry-state.js';
import {encodeBacklog} from './encode-backlog.js';
import {messageCode} from './message-code.js';
import {absentNumber} from './absent-number.js';
import type {PoolMessage} from './pool-message.js';

/** An encoded message: a list whose first element is the message code. */
type Encoded = readonly unknown[];

/** A state is sent to several peers at the same time, and is encoded once. */
const encodedStates = new WeakMap<EntryState, Encoded>();

/**
 * Encodes a batch for one peer as positional lists. Consecutive runs of one job carry its payload only once, since the payload
 * makes up most of their size and traffic between zones is billed.
 */
export function encodeMessages(messages: readonly PoolMessage[]): readonly Encoded[] {
	let previous: RunRequest | undefined;
	return messages.map(message => {
		if (message.kind !== 'run') {
			return encode(message);
		}

		const {request} = message;
		const isSameJob = previous !== undefined && belongToSameJob(previous, request);
		previous = request;
		return isSameJob ? [messageCode.nextRun, request.task, request.attempt, request.excludedTargets] : [messageCode.run, ...encodeRequest(request), ...encodeTimeLeft(request)];
	});
}

/** By switch, because it runs for every message: matching by patterns took 3% of the processor time of an entry in a profile under load. */
function encode(message: Exclude<PoolMessage, {readonly kind: 'run'}>): Encoded {
	switch (message.kind) {
		case 'state': {
			return encodeStateMessage(message);
		}

		case 'lost': {
			return [messageCode.lost, message.member];
		}

		case 'entries': {
			return [messageCode.entries, message.entries.map(({address, zone}) => [address, zone])];
		}

		case 'report': {
			return [messageCode.report, message.task, message.attempt, ...encodeOutcome(message.outcome)];
		}

		case 'stop': {
			return [messageCode.stop, message.task, message.attempt, message.cause, ...optional(message.unreadMilliseconds)];
		}

		case 'handover': {
			return encodeHandover(message);
		}

		case 'adopted': {
			return [messageCode.adopted, message.task, message.attempt, ...optional(message.fence)];
		}

		case 'adoptionHeard': {
			return [messageCode.adoptionHeard, message.task, message.attempt];
		}

		case 'loss': {
			const {target, incarnation, status, tasks} = message.loss;
			return [messageCode.loss, target, incarnation ?? absentNumber, status, ...tasks];
		}

		case 'askList': {
			return [messageCode.askList, message.request.requestId, message.request.from ?? absentNumber];
		}

		case 'list': {
			const {requestId, from, next, records} = message.update;
			return [messageCode.list, requestId, from ?? absentNumber, next, records];
		}

		case 'wantRouting': {
			return [messageCode.wantRouting];
		}

		case 'routing': {
			return [messageCode.routing, message.configuration];
		}
	}
}

function optional(value: number | undefined): Encoded {
	return value === undefined ? [] : [value];
}

function encodeStateMessage({state, isForMonitor, mesh, backlog}: Extract<PoolMessage, {readonly kind: 'state'}>): Encoded {
	const slowdowns = encodeSlowdowns(state);
	const encoded = [messageCode.state, ...encodeState(state), isForMonitor, ...slowdowns];
	if (backlog === undefined && mesh === 'full') {
		return encoded;
	}

	// An empty list in the place of the slowdowns means that there are none.
	return [...encoded, ...(slowdowns.length === 0 ? [[]] : []), backlog && encodeBacklog(backlog), ...(mesh === 'full' ? [] : [mesh])];
}

function encodeHandover({handovers, requesters}: Extract<PoolMessage, {readonly kind: 'handover'}>): Encoded {
	return [
		messageCode.handover,
		handovers.map(({target, runs}) => [target, runs.map(({request, requester}) => [requester, ...encodeRequest(request)])]),
		requesters.map(({member: {id, instance, zone, peerAddress}, silentMilliseconds}) => [id, instance, zone, peerAddress, silentMilliseconds]),
	];
}

function encodeState(state: EntryState): Encoded {
	const known = encodedStates.get(state);
	if (known !== undefined) {
		return known;
	}

	const {isLeaving, routingVersion, demand, freeCapacity} = state;
	const encoded = [
		isLeaving,
		routingVersion,
		demand.map(({service, need}) => [service, ...amountsOf(need)]),
		freeCapacity.map(capacity => [capacity.service, ...amountsOf(capacity.room), ...capacity.labels]),
	];
	encodedStates.set(state, encoded);
	return encoded;
}

/** Nothing if the choice of the target doesn't depend on the time that is left. */
function encodeTimeLeft({millisecondsToObjective}: RunRequest): Encoded {
	return millisecondsToObjective === undefined ? [] : [millisecondsToObjective];
}

/** The slowdowns of all targets in the order of the free capacity; nothing if all are 1. */
function encodeSlowdowns({freeCapacity}: EntryState): Encoded {
	const slowdowns = freeCapacity.map(({slowdown}) => slowdown ?? 1);
	return slowdowns.some(slowdown => slowdown !== 1) ? [slowdowns] : [];
}

function encodeRequest(request: RunRequest): Encoded {
	return [
		request.task,
		request.attempt,
		request.payload,
		...amountsOf(request.need),
		request.queue,
		request.service,
		request.place.label,
		request.place.nearLabel,
		request.place.farFactor,
		request.place.maxTasksPerTarget ?? absentNumber,
		request.requiresNearData,
		request.excludedTargets,
		request.jobTaskCount,
		request.expectedMilliseconds,
	];
}

function encodeOutcome(outcome: RunOutcome): Encoded {
	switch (outcome.kind) {
		case 'done': {
			return ['done', outcome.target, outcome.ranMilliseconds];
		}

		case 'failed': {
			return ['failed', outcome.target, outcome.isTargetSuspect];
		}

		case 'refused': {
			return ['refused', outcome.cause];
		}

		case 'gone': {
			return ['gone', outcome.target, outcome.cause];
		}
	}
}

function amountsOf({cpuMillis, memoryMegabytes, accelerators}: Resources): readonly number[] {
	return [cpuMillis, memoryMegabytes, accelerators];
}

/** Comparing the payloads is cheap: runs of one job share the same string. */
function belongToSameJob(left: RunRequest, right: RunRequest): boolean {
	return left.payload === right.payload
		&& left.need === right.need
		&& left.queue === right.queue
		&& left.service === right.service
		&& left.place === right.place
		&& left.requiresNearData === right.requiresNearData
		&& left.jobTaskCount === right.jobTaskCount
		&& left.expectedMilliseconds === right.expectedMilliseconds
		&& left.millisecondsToObjective === right.millisecondsToObjective;
}
