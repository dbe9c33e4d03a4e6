/** Estimates when a job could start. */
import type {QueueBacklog} from '../backlog/queue-backlog.js';
import type {ServiceBacklog} from '../backlog/service-backlog.js';
import type {ZoneBacklog} from '../backlog/zone-backlog.js';
import type {ServiceName} from '../../base/service-name.js';
import type {StartEstimate} from './start-estimate.js';

/** What the estimate depends on. */
type JobShape = {
	readonly service: ServiceName;
	/** From now to the weighted latest start by which the job is ranked. */
	readonly laxityMilliseconds: number;
};

/**
 * Estimates the start of the last task of a job, from the work that is ranked before it and the capacity; undefined without any
 * capacity. The estimate is a lower bound as far as the figures allow: it assumes that all capacity is used by the work before the job,
 * leaves out jobs that arrive later, and is the smaller one of the fleet and of this entry's zone, which is the first of `zones`. The
 * rate of ended tasks is no better measure: under a mixed load most tasks that end are short, and most of the waiting work is long.
 */
export function estimateStart(zones: readonly ZoneBacklog[], shape: JobShape): StartEstimate | undefined {
	const [own] = zones;
	const estimates = (own === undefined ? [] : [[own], zones]).flatMap(scope => estimateIn(scope, shape) ?? []);
	return estimates.toSorted((left, right) => left.waitMilliseconds - right.waitMilliseconds)[0];
}

function estimateIn(zones: readonly ZoneBacklog[], {service, laxityMilliseconds}: JobShape): StartEstimate | undefined {
	const backlogs = zones.flatMap(zone => zone.services).filter(backlog => backlog.service === service);
	const totalCpuMillis = sum(backlogs, backlog => backlog.totalCpuMillis);
	if (totalCpuMillis === 0) {
		return undefined;
	}

	const queues = backlogs.flatMap(backlog => backlog.queues).map(queue => ({queue, share: shareBefore(queue, laxityMilliseconds)}));
	const tasksBefore = sum(queues, ({queue, share}) => queue.begunTasks + ((queue.tasks - queue.begunTasks) * share));
	const coreMillisecondsBefore = sum(queues, ({queue, share}) => queue.begunCoreMilliseconds + ((queue.coreMilliseconds - queue.begunCoreMilliseconds) * share));
	return {
		waitMilliseconds: coreMillisecondsBefore * 1000 / totalCpuMillis,
		clearMilliseconds: sum(queues, ({queue}) => queue.coreMilliseconds) * 1000 / totalCpuMillis,
		tasksBefore,
		coreMillisecondsBefore,
		totalCpuMillis,
		endedTasks: sum(backlogs, backlog => backlog.endedTasks),
		zones: zones.length,
		oldestFigureMilliseconds: Math.max(...zones.map(({ageMilliseconds}) => ageMilliseconds)),
	};
}

/** The share of a queue's tasks without a begun job that are ranked before a job, with latest starts that are spread evenly between the first and the newest. */
function shareBefore({laxityMilliseconds: first, oldestMilliseconds: spread}: QueueBacklog, laxityMilliseconds: number): number {
	if (laxityMilliseconds < first) {
		return 0;
	}

	return spread === 0 ? 1 : Math.min(1, (laxityMilliseconds - first) / spread);
}

function sum<Item>(items: readonly Item[], amountOf: (item: Item) => number): number {
	let total = 0;
	for (const item of items) {
		total += amountOf(item);
	}

	return total;
}
