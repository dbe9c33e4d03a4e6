/** Decodes backlogs of peers. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {ServiceName} from '../../base/service-name.js';
import {backlogLimits} from '../backlog/backlog-limits.js';
import type {BacklogReport} from '../backlog/backlog-report.js';
import {limitBacklog} from '../backlog/limit-backlog.js';
import type {QueueBacklog} from '../backlog/queue-backlog.js';
import type {ServiceBacklog} from '../backlog/service-backlog.js';
import {EncodedValues} from './encoded-values.js';

/**
 * Decodes the trailing value of a state; undefined if its sender publishes no backlog. Amounts are checked, since one that isn't finite
 * would make all sums NaN for as long as the figures count.
 */
export function decodeBacklog(values: EncodedValues): BacklogReport | undefined {
	const encoded = values.any();
	if (encoded === undefined) {
		return undefined;
	}

	const report = new EncodedValues(new EncodedValues([encoded]).list());
	const own = report.any();
	return {
		own: own === undefined ? undefined : decodeServices(new EncodedValues([own])),
		zones: report.lists(zone => ({zone: zone.text<AvailabilityZone>(), ageMilliseconds: decodeAmount(zone), services: decodeServices(zone)})).slice(0, backlogLimits.zones),
	};
}

function decodeServices(values: EncodedValues): readonly ServiceBacklog[] {
	return limitBacklog(values.lists(service => ({
		service: service.text<ServiceName>(),
		totalCpuMillis: decodeAmount(service),
		freeCpuMillis: decodeAmount(service),
		largestFreeCpuMillis: decodeAmount(service),
		endedTasks: decodeAmount(service),
		queues: service.lists(queue => decodeQueue(queue)),
	})));
}

function decodeQueue(values: EncodedValues): QueueBacklog {
	return {
		queue: values.text<ProfileName>(),
		tasks: decodeAmount(values),
		cpuMillis: decodeAmount(values),
		coreMilliseconds: decodeAmount(values),
		begunTasks: decodeAmount(values),
		begunCoreMilliseconds: decodeAmount(values),
		oldestMilliseconds: decodeAmount(values),
		laxityMilliseconds: decodeAmount(values),
	};
}

function decodeAmount(values: EncodedValues): number {
	const amount = values.number();
	if (!Number.isFinite(amount) || amount < 0) {
		throw new TypeError(`amount ${amount} in a backlog`);
	}

	return amount;
}
