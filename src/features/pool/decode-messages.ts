/** Decodes messages of the pool. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {Incarnation} from '../../base/incarnation.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';
import type {TaskId} from '../../base/task-id.js';
import type {RunOutcome} from '../execution/run-outcome.js';
import type {PlacementConstraints} from '../execution/placement-constraints.js';
import type {TargetLoss} from '../execution/target-loss.js';
import type {RunRequest} from '../execution/run-request.js';
import type {EntryState} from './entry-state.js';
import {EncodedValues} from './encoded-values.js';
import {decodeBacklog} from './decode-backlog.js';
import type {Mesh} from './mesh.js';
import {messageCode} from './message-code.js';
import {absentNumber} from './absent-number.js';
import type {PoolMessage} from './pool-message.js';

const lossStates = ['silent', 'down', 'unsure', 'back'] as const;
const meshes: readonly Mesh[] = ['full', 'extended', 'bordering'];
const refusalCauses = ['noRoom', 'superseded', 'targetRefused', 'outdated'] as const;

/** Validated in full, since the configuration affects all later jobs; it is received too rarely for the cost to matter. */
const configurationSchema = z.object({
	version: z.number(),
	bodyLimitBytes: z.number(),
	routes: z.array(z.object({
		queue: z.string().transform(name => name as ProfileName),
		host: z.string(),
		pathPrefix: z.string(),
		service: z.string().transform(name => name as ServiceName),
		priority: z.number(),
		attempts: z.number(),
		stretch: z.number(),
		slackMilliseconds: z.number(),
	})),
});

/** Decodes the messages of a batch; throws a `TypeError` that names the malformed value. */
export function decodeMessages(body: unknown): readonly PoolMessage[] {
	let previous: RunRequest | undefined;
	return new EncodedValues([body]).lists(values => {
		const message = decode(values, previous);
		if (message.kind === 'run') {
			previous = message.request;
		}

		return message;
	});
}

function decode(values: EncodedValues, previous: RunRequest | undefined): PoolMessage {
	const code = values.number();
	switch (code) {
		case messageCode.state: {
			const state = decodeState(values);
			const isForMonitor = values.flag();
			const slowdowns = values.optionalNumbers();
			const backlog = decodeBacklog(values);
			const mesh = decodeMesh(values.optionalText());
			return {
				kind: 'state', state: addSlowdowns(state, slowdowns), isForMonitor, mesh, ...(backlog !== undefined && {backlog}),
			};
		}

		case messageCode.lost: {
			return {kind: 'lost', member: values.text<MemberId>()};
		}

		case messageCode.entries: {
			return {kind: 'entries', entries: values.lists(entry => ({address: entry.text(), zone: entry.text<AvailabilityZone>()}))};
		}

		case messageCode.run: {
			const request = decodeRequest(values);
			const millisecondsToObjective = values.optionalNumber();
			return {kind: 'run', request: {...request, ...(millisecondsToObjective !== undefined && {millisecondsToObjective})}};
		}

		case messageCode.nextRun: {
			return {kind: 'run', request: decodeNextRequest(values, previous)};
		}

		case messageCode.report: {
			return {
				kind: 'report', task: values.text<TaskId>(), attempt: values.number(), outcome: decodeOutcome(values),
			};
		}

		case messageCode.stop: {
			return {
				kind: 'stop', task: values.text<TaskId>(), attempt: values.number(), cause: values.text(), unreadMilliseconds: values.optionalFiniteNumber(),
			};
		}

		case messageCode.handover: {
			return {
				kind: 'handover', handovers: values.lists(handover => ({
					target: handover.text<InstanceId>(),
					runs: handover.lists(run => ({requester: run.text<MemberId>(), request: decodeRequest(run)})),
				})),
				requesters: values.lists(requester => ({
					member: {
						id: requester.text<MemberId>(), instance: requester.text<InstanceId>(), zone: requester.text<AvailabilityZone>(), peerAddress: requester.text(),
					},
					silentMilliseconds: Math.max(0, requester.finiteNumber()),
				})),
			};
		}

		case messageCode.loss: {
			return {kind: 'loss', loss: decodeLoss(values)};
		}

		case messageCode.adopted: {
			return {
				kind: 'adopted', task: values.text<TaskId>(), attempt: values.number(), fence: values.optionalFiniteNumber() as FencingToken | undefined,
			};
		}

		case messageCode.adoptionHeard: {
			return {kind: 'adoptionHeard', task: values.text<TaskId>(), attempt: values.number()};
		}

		case messageCode.askList: {
			return {kind: 'askList', request: {requestId: values.number(), from: optionalNumber(values.number())}};
		}

		case messageCode.list: {
			return {
				kind: 'list', update: {
					requestId: values.number(), from: optionalNumber(values.number()), next: values.number(), records: values.bytes(),
				},
			};
		}

		case messageCode.wantRouting: {
			return {kind: 'wantRouting'};
		}

		case messageCode.routing: {
			return {kind: 'routing', configuration: decodeConfiguration(values.any())};
		}

		default: {
			throw new TypeError(`unknown message code ${code}`);
		}
	}
}

function optionalNumber(value: number): number | undefined {
	return value === absentNumber ? undefined : value;
}

function decodeState(values: EncodedValues): EntryState {
	return {
		isLeaving: values.flag(),
		routingVersion: values.number(),
		demand: values.lists(item => ({service: item.text<ServiceName>(), need: decodeAmounts(item)})),
		freeCapacity: values.lists(capacity => ({service: capacity.text<ServiceName>(), room: decodeAmounts(capacity), labels: capacity.rest()})),
	};
}

/** Entries of former versions don't state their mesh; it counts as full, which is how they see it in small fleets. */
function decodeMesh(text = 'full'): Mesh {
	return meshes.find(mesh => mesh === text) ?? 'bordering';
}

/** Targets without a value count as normal. */
function addSlowdowns(state: EntryState, slowdowns: readonly number[]): EntryState {
	if (slowdowns.length === 0) {
		return state;
	}

	if (!slowdowns.every(slowdown => slowdown > 0 && Number.isFinite(slowdown))) {
		throw new TypeError(`invalid slowdowns ${slowdowns.join(', ')}`);
	}

	return {
		...state, freeCapacity: state.freeCapacity.map((capacity, index) => {
			const slowdown = slowdowns[index] ?? 1;
			return slowdown === 1 ? capacity : {...capacity, slowdown};
		}),
	};
}

function decodeRequest(values: EncodedValues): RunRequest {
	return {
		task: values.text<TaskId>(),
		attempt: values.number(),
		payload: values.text(),
		need: decodeAmounts(values),
		queue: values.text<ProfileName>(),
		service: values.text<ServiceName>(),
		place: decodePlace(values),
		requiresNearData: values.flag(),
		excludedTargets: values.texts(),
		jobTaskCount: values.number(),
		expectedMilliseconds: values.number(),
	};
}

function decodePlace(values: EncodedValues): PlacementConstraints {
	const [label, nearLabel, farFactor, most] = [values.optionalText(), values.optionalText(), values.number(), values.number()];
	return {
		label, nearLabel, farFactor, maxTasksPerTarget: most === absentNumber ? undefined : most,
	};
}

function decodeNextRequest(values: EncodedValues, previous: RunRequest | undefined): RunRequest {
	if (previous === undefined) {
		throw new TypeError('a nextRun message without a preceding run');
	}

	return {
		...previous, task: values.text<TaskId>(), attempt: values.number(), excludedTargets: values.texts(),
	};
}

function decodeOutcome(values: EncodedValues): RunOutcome {
	const kind = values.text();
	switch (kind) {
		case 'done': {
			return {kind, target: values.text(), ranMilliseconds: values.number()};
		}

		case 'failed': {
			return {kind, target: values.text(), isTargetSuspect: values.flag()};
		}

		case 'refused': {
			const cause = values.text();
			const known = refusalCauses.find(refusal => refusal === cause);
			if (known === undefined) {
				throw new TypeError(`unknown refusal cause ${cause}`);
			}

			return {kind, cause: known};
		}

		case 'gone': {
			return {kind, target: values.text(), cause: values.text()};
		}

		default: {
			throw new TypeError(`unknown run outcome ${kind}`);
		}
	}
}

function decodeLoss(values: EncodedValues): TargetLoss {
	const target = values.text<InstanceId>();
	const incarnation = values.number();
	const text = values.text();
	const status = lossStates.find(known => known === text);
	if (status === undefined) {
		throw new TypeError(`unknown state of a lost target: ${text}`);
	}

	return {
		target, incarnation: incarnation === absentNumber ? undefined : incarnation as Incarnation, status, tasks: values.rest().map(task => task as TaskId),
	};
}

function decodeAmounts(values: EncodedValues): Resources {
	return new Resources(values.number(), values.number(), values.number());
}

function decodeConfiguration(value: unknown) {
	const checked = configurationSchema.safeParse(value);
	if (!checked.success) {
		throw new TypeError(`invalid routing configuration: ${checked.error.issues[0]?.message}`);
	}

	return checked.data;
}
