/** What entries of a pool say to each other. */
import * as z from 'zod';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';
import type {TaskId} from '../../base/task-id.js';

const resourcesSchema = z.tuple([z.number(), z.number(), z.number()]).transform(([cpuMillis, memory, accelerators]) => new Resources(cpuMillis, memory, accelerators));

const requestSchema = z.object({
	task: z.string().transform(id => id as TaskId),
	attempt: z.number(),
	payload: z.string(),
	need: resourcesSchema,
	queue: z.string().transform(name => name as ProfileName),
	service: z.string().transform(name => name as ServiceName),
	label: z.string().optional().transform(label => label),
	avoid: z.array(z.string()),
	jobTasks: z.number(),
	expectedMilliseconds: z.number(),
});

const outcomeSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('done'), target: z.string(), ranMilliseconds: z.number()}),
	z.object({kind: z.literal('failed'), target: z.string(), isTargetSuspect: z.boolean()}),
	z.object({kind: z.literal('refused'), cause: z.enum(['noRoom', 'superseded', 'targetRefused'])}),
	z.object({kind: z.literal('gone'), target: z.string(), cause: z.string()}),
]);

const routeSchema = z.object({
	queue: z.string().transform(name => name as ProfileName),
	host: z.string(),
	pathPrefix: z.string(),
	service: z.string().transform(name => name as ServiceName),
	priority: z.number(),
	attempts: z.number(),
	stretch: z.number(),
	slackMilliseconds: z.number(),
});

/** `state` goes to all regularly and is each entry's heartbeat; the others are for one entry each. */
export const poolMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('state'),
		isLeaving: z.boolean(),
		routingVersion: z.number(),
		waitingTasks: z.number(),
		room: z.array(z.object({service: z.string().transform(name => name as ServiceName), labels: z.array(z.string()), room: resourcesSchema})),
	}),
	z.object({kind: z.literal('addresses'), addresses: z.array(z.string())}),
	z.object({kind: z.literal('run'), request: requestSchema}),
	z.object({
		kind: z.literal('report'), task: z.string().transform(id => id as TaskId), attempt: z.number(), outcome: outcomeSchema,
	}),
	z.object({
		kind: z.literal('stop'), task: z.string().transform(id => id as TaskId), attempt: z.number(), cause: z.string(),
	}),
	z.object({
		kind: z.literal('handover'),
		handovers: z.array(z.object({
			target: z.string().transform(id => id as InstanceId),
			acknowledged: z.number(),
			runs: z.array(z.object({request: requestSchema, requester: z.string().transform(id => id as MemberId)})),
		})),
	}),
	z.object({kind: z.literal('adopted'), task: z.string().transform(id => id as TaskId), attempt: z.number()}),
	z.object({kind: z.literal('wantRouting')}),
	z.object({
		kind: z.literal('routing'),
		configuration: z.object({version: z.number(), bodyLimitBytes: z.number(), routes: z.array(routeSchema)}),
	}),
]);
