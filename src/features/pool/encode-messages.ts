/** Encodes messages of the pool. */
import {match} from 'ts-pattern';
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
		return isSameJob ? [messageCode.nextRun, request.task, request.attempt, request.excludedTargets] : [messageCode.run, ...encodeRequest(request)];
	});
}

function encode(message: Exclude<PoolMessage, {readonly kind: 'run'}>): Encoded {
	return match(message)
		.with({kind: 'state'}, ({state, isForMonitor, backlog}) => [messageCode.state, ...encodeState(state), isForMonitor, ...(backlog === undefined ? [] : [undefined, encodeBacklog(backlog)])])
		.with({kind: 'lost'}, ({member}) => [messageCode.lost, member])
		.with({kind: 'entries'}, ({entries}) => [messageCode.entries, entries.map(({address, zone}) => [address, zone])])
		.with({kind: 'report'}, ({task, attempt, outcome}) => [messageCode.report, task, attempt, ...encodeOutcome(outcome)])
		.with({kind: 'stop'}, ({task, attempt, cause}) => [messageCode.stop, task, attempt, cause])
		.with({kind: 'handover'}, ({handovers, requesters}) => [messageCode.handover, handovers.map(({target, runs}) => [
			target, runs.map(({request, requester}) => [requester, ...encodeRequest(request)]),
		]), requesters.map(({member: {id, instance, zone, peerAddress}, silentMilliseconds}) => [id, instance, zone, peerAddress, silentMilliseconds])])
		.with({kind: 'adopted'}, ({task, attempt}) => [messageCode.adopted, task, attempt])
		.with({kind: 'adoptionHeard'}, ({task, attempt}) => [messageCode.adoptionHeard, task, attempt])
		.with({kind: 'loss'}, ({loss: {target, incarnation, status, tasks}}) => [messageCode.loss, target, incarnation ?? absentNumber, status, ...tasks])
		.with({kind: 'askList'}, ({request: {requestId, from}}) => [messageCode.askList, requestId, from ?? absentNumber])
		.with({kind: 'list'}, ({update: {requestId, from, next, records}}) => [messageCode.list, requestId, from ?? absentNumber, next, records])
		.with({kind: 'wantRouting'}, () => [messageCode.wantRouting])
		.with({kind: 'routing'}, ({configuration}) => [messageCode.routing, configuration])
		.exhaustive();
}

function encodeState({isLeaving, routingVersion, demand, freeCapacity}: EntryState): Encoded {
	return [
		isLeaving,
		routingVersion,
		demand.map(({service, need}) => [service, ...amountsOf(need)]),
		freeCapacity.map(capacity => [capacity.service, ...amountsOf(capacity.room), ...capacity.labels]),
	];
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
	return match(outcome)
		.with({kind: 'done'}, ({target, ranMilliseconds}) => ['done', target, ranMilliseconds])
		.with({kind: 'failed'}, ({target, isTargetSuspect}) => ['failed', target, isTargetSuspect])
		.with({kind: 'refused'}, ({cause}) => ['refused', cause])
		.with({kind: 'gone'}, ({target, cause}) => ['gone', target, cause])
		.exhaustive();
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
		&& left.expectedMilliseconds === right.expectedMilliseconds;
}
