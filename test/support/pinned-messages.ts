/** Messages of the pool, and their bytes in the present layout. */
import type {FencingToken} from '../../src/base/fencing-token.js';
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {Incarnation} from '../../src/base/incarnation.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {MemberId} from '../../src/base/member-id.js';
import type {ProfileName} from '../../src/base/profile-name.js';
import {Resources} from '../../src/base/resources.js';
import type {ServiceName} from '../../src/base/service-name.js';
import type {TaskId} from '../../src/base/task-id.js';
import type {EntryState} from '../../src/features/pool/entry-state.js';
import type {PoolMessage} from '../../src/features/pool/pool-message.js';
import type {RunRequest} from '../../src/features/execution/run-request.js';
import {unconstrainedPlacement} from './unconstrained-placement.js';

const service = 'service' as ServiceName;
const queue = 'queue' as ProfileName;
const zone = 'zone' as AvailabilityZone;
const target = 'target' as InstanceId;
const requester = 'entry#1' as MemberId;
const task = 'job.0.0.0' as TaskId;
const need = new Resources(27_000, 64, 1);
const state: EntryState = {
	isLeaving: false, routingVersion: 7, demand: [{service, need}], freeCapacity: [{service, labels: ['a', 'b'], room: need}, {service, labels: [], room: Resources.none}],
};
const request: RunRequest = {
	task, attempt: 1, payload: '60', need, queue, service, place: unconstrainedPlacement, requiresNearData: false, excludedTargets: ['other'], jobTaskCount: 3, expectedMilliseconds: 60,
};
const constrained: RunRequest = {
	...request, requiresNearData: true, place: {
		label: 'a', nearLabel: 'b', farFactor: 1.5, maxTasksPerTarget: 2,
	},
};

/** A batch of messages with its bytes in CBOR as hexadecimal digits. */
type PinnedMessages = {readonly messages: readonly PoolMessage[]; readonly bytes: string};

/** Layouts that all entries since 454fc6b encode and decode. */
export const commonMessages: Readonly<Record<string, PinnedMessages>> = {
	state: {
		messages: [{
			kind: 'state', isForMonitor: true, mesh: 'full', state,
		}],
		bytes: '818600f407818467736572766963651969781840018286677365727669636519697818400161616162846773657276696365000000f5',
	},
	entries: {messages: [{kind: 'entries', entries: [{address: '10.0.0.1:1', zone}]}], bytes: '81820a81826a31302e302e302e313a31647a6f6e65'},
	run: {messages: [{kind: 'run', request}], bytes: '819102696a6f622e302e302e30016236301969781840016571756575656773657276696365f7f70120f481656f7468657203183c'},
	'run with constraints': {
		messages: [{kind: 'run', request: constrained}],
		bytes: '819102696a6f622e302e302e3001623630196978184001657175657565677365727669636561616162fb3ff800000000000002f581656f7468657203183c',
	},
	'runs of one job': {
		messages: [{kind: 'run', request}, {
			kind: 'run', request: {
				...request, task: 'job.0.0.1' as TaskId, attempt: 2, excludedTargets: [],
			},
		}],
		bytes: '829102696a6f622e302e302e30016236301969781840016571756575656773657276696365f7f70120f481656f7468657203183c8403696a6f622e302e302e310280',
	},
	'report of an end': {
		messages: [{
			kind: 'report', task, attempt: 1, outcome: {kind: 'done', target, ranMilliseconds: 61.5},
		}],
		bytes: '818604696a6f622e302e302e300164646f6e6566746172676574fb404ec00000000000',
	},
	'report of a failure': {
		messages: [{
			kind: 'report', task, attempt: 1, outcome: {kind: 'failed', target, isTargetSuspect: true},
		}],
		bytes: '818604696a6f622e302e302e3001666661696c656466746172676574f5',
	},
	'report of refusals': {
		messages: (['noRoom', 'superseded', 'targetRefused', 'outdated'] as const).map(cause => ({
			kind: 'report', task, attempt: 1, outcome: {kind: 'refused', cause},
		})),
		bytes: '848504696a6f622e302e302e30016772656675736564666e6f526f6f6d8504696a6f622e302e302e300167726566757365646a737570657273656465648504696a6f622e302e'
			+ '302e300167726566757365646d746172676574526566757365648504696a6f622e302e302e30016772656675736564686f75746461746564',
	},
	'report of a loss': {
		messages: [{
			kind: 'report', task, attempt: 1, outcome: {kind: 'gone', target, cause: 'lapsed'},
		}],
		bytes: '818604696a6f622e302e302e300164676f6e6566746172676574666c6170736564',
	},
	stop: {
		messages: [{
			kind: 'stop', task, attempt: 1, cause: 'over', unreadMilliseconds: undefined,
		}],
		bytes: '818405696a6f622e302e302e3001646f766572',
	},
	handover: {
		messages: [{
			kind: 'handover', handovers: [{target, runs: [{request, requester}]}], requesters: [{
				member: {
					id: requester, instance: 'entry' as InstanceId, zone, peerAddress: '10.0.0.2:1',
				},
				silentMilliseconds: 120,
			}],
		}],
		bytes: '818306818266746172676574819167656e7472792331696a6f622e302e302e30016236301969781840016571756575656773657276696365f7f70120f481656f746865720318'
			+ '3c818567656e747279233165656e747279647a6f6e656a31302e302e302e323a311878',
	},
	adopted: {
		messages: [{
			kind: 'adopted', task, attempt: 1, fence: undefined,
		}], bytes: '818307696a6f622e302e302e3001',
	},
	adoptionHeard: {messages: [{kind: 'adoptionHeard', task, attempt: 1}], bytes: '81830f696a6f622e302e302e3001'},
	lost: {messages: [{kind: 'lost', member: requester}], bytes: '81820b67656e7472792331'},
	losses: {
		messages: (['silent', 'down', 'unsure', 'back'] as const).map(status => ({
			kind: 'loss', loss: {
				target, incarnation: status === 'back' ? undefined : 1_700_000_000_000 as Incarnation, status, tasks: status === 'down' ? [task] : [],
			},
		})),
		bytes: '84840c66746172676574fb4278bcfe568000006673696c656e74850c66746172676574fb4278bcfe5680000064646f776e696a6f622e302e302e30840c66746172676574fb42'
			+ '78bcfe5680000066756e73757265840c6674617267657420646261636b',
	},
	askList: {messages: [{kind: 'askList', request: {requestId: 5, from: undefined}}, {kind: 'askList', request: {requestId: 6, from: 4}}], bytes: '82830d0520830d0604'},
	list: {
		messages: [{
			kind: 'list', update: {
				requestId: 5, from: undefined, next: 9, records: new Uint8Array([0, 1, 2]),
			},
		}],
		bytes: '81850e052009d84043000102',
	},
	wantRouting: {messages: [{kind: 'wantRouting'}], bytes: '818108'},
	routing: {
		messages: [{
			kind: 'routing', configuration: {
				version: 3, bodyLimitBytes: 9, routes: [{
					queue, host: 'host', pathPrefix: '/', service, priority: 0, attempts: 3, stretch: 1.5, slackMilliseconds: 60,
				}],
			},
		}],
		bytes: '818209b900036776657273696f6e036e626f64794c696d697442797465730966726f7574657381b9000865717565756565717565756564686f737464686f73746a7061746850'
			+ '7265666978612f67736572766963656773657276696365687072696f726974790068617474656d707473036773747265746368fb3ff800000000000071736c61636b4d696c6c'
			+ '697365636f6e6473183c',
	},
};

/** Layouts with values at the end of a message that entries of former versions neither encode nor read. */
export const extendedMessages: Readonly<Record<string, PinnedMessages>> = {
	'state with slowdowns': {
		messages: [{
			kind: 'state', isForMonitor: true, mesh: 'full', state: {...state, freeCapacity: state.freeCapacity.map((capacity, index) => index === 0 ? {...capacity, slowdown: 1.5} : capacity)},
		}],
		bytes: '818700f407818467736572766963651969781840018286677365727669636519697818400161616162846773657276696365000000f582fb3ff800000000000001',
	},
	'state with a backlog': {
		messages: [{
			kind: 'state', isForMonitor: true, mesh: 'full', state, backlog: {
				own: [{
					service, totalCpuMillis: 8, freeCpuMillis: 7, largestFreeCpuMillis: 6, endedTasks: 5, queues: [{
						queue, tasks: 1, cpuMillis: 2, coreMilliseconds: 3, begunTasks: 4, begunCoreMilliseconds: 5, oldestMilliseconds: 6, laxityMilliseconds: 7,
					}],
				}],
				zones: [{zone, ageMilliseconds: 350, services: []}],
			},
		}],
		bytes: '818800f407818467736572766963651969781840018286677365727669636519697818400161616162846773657276696365000000f580828186677365727669636508070605'
			+ '8188657175657565010203040506078183647a6f6e6519015e80',
	},
	'run with the time left': {
		messages: [{kind: 'run', request: {...request, millisecondsToObjective: 140}}],
		bytes: '819202696a6f622e302e302e30016236301969781840016571756575656773657276696365f7f70120f481656f7468657203183c188c',
	},
	'state of an extended mesh': {
		messages: [{
			kind: 'state', isForMonitor: true, mesh: 'extended', state,
		}], bytes: '818900f407818467736572766963651969781840018286677365727669636519697818400161616162846773657276696365000000f580f768657874656e646564',
	},
	'stop with unread time': {
		messages: [{
			kind: 'stop', task, attempt: 1, cause: 'over', unreadMilliseconds: 230,
		}], bytes: '818505696a6f622e302e302e3001646f76657218e6',
	},
	'adopted with a fencing token': {
		messages: [{
			kind: 'adopted', task, attempt: 1, fence: 7 as FencingToken,
		}], bytes: '818407696a6f622e302e302e300107',
	},
};
