/** Estimates when a job could start. */
import type {QueueBacklog} from '../backlog/queue-backlog.js';
import type {ServiceBacklog} from '../backlog/service-backlog.js';
import type {ZoneBacklog} from '../backlog/zone-backlog.js';
import type {ServiceName} from '../../base/service-name.js';
import type {StartEstimate} from './start-estimate.js';

/** What the estimate depends on. */
type JobShape = {
	readonly service: ServiceName;
	readonly tasks: number;
	/** From now to the weighted latest start by which the job is ranked. */
	readonly laxityMilliseconds: number;
};

/**
 * Estimates the start of the last task of a job, from the work that is ranked before it and the capacity; undefined without any
 * capacity. The estimate is a lower bound as far as the figures allow: it is the smaller one of the fleet and of this entry's zone,
 * which is the first of `zones`, and of two rates, since the full capacity is an upper bound of the work that gets done, while the
 * recently ended tasks show the actual rate, which is too low right after a quiet time. Jobs that arrive later are left out.
 */
export function estimateStart(zones: readonly ZoneBacklog[], shape: JobShape): StartEstimate | undefined {
	const [own] = zones;
	const estimates = (own === undefined ? [] : [[own], zones]).flatMap(scope => estimateIn(scope, shape) ?? []);
	return estimates.toSorted((left, right) => left.waitMilliseconds - right.waitMilliseconds)[0];
}

function estimateIn(zones: readonly ZoneBacklog[], {service, tasks, laxityMilliseconds}: JobShape): StartEstimate | undefined {
	const backlogs = zones.flatMap(zone => zone.services).filter(backlog => backlog.service === service);
	const totalCpuMillis = sum(backlogs, backlog => backlog.totalCpuMillis);
	if (totalCpuMillis === 0) {
		return undefined;
	}

	const queues = backlogs.flatMap(backlog => backlog.queues).map(queue => ({queue, share: shareBefore(queue, laxityMilliseconds)}));
	const rates = {totalCpuMillis, endedTasks: sum(backlogs, backlog => backlog.endedTasks)};
	const tasksBefore = sum(queues, ({queue, share}) => queue.tasks * share);
	const coreMillisecondsBefore = sum(queues, ({queue, share}) => queue.coreMilliseconds * share);
	return {
		waitMilliseconds: tasksBefore === 0 ? 0 : waitFor(tasksBefore + tasks, coreMillisecondsBefore, rates),
		clearMilliseconds: waitFor(sum(queues, ({queue}) => queue.tasks), sum(queues, ({queue}) => queue.coreMilliseconds), rates),
		tasksBefore,
		coreMillisecondsBefore,
		...rates,
		zones: zones.length,
		oldestFigureMilliseconds: Math.max(...zones.map(({ageMilliseconds}) => ageMilliseconds)),
	};
}

function waitFor(tasks: number, coreMilliseconds: number, {totalCpuMillis, endedTasks}: Pick<ServiceBacklog, 'totalCpuMillis' | 'endedTasks'>): number {
	const byCapacity = coreMilliseconds * 1000 / totalCpuMillis;
	return endedTasks === 0 ? byCapacity : Math.min(byCapacity, tasks * 1000 / endedTasks);
}

/** The share of a queue's tasks that are ranked before a job, with latest starts that are spread evenly between the first and the newest. */
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
