/** Instances as listed by the platform. */
import type {Event} from '../../base/event.js';
import type {InstanceSnapshot} from './instance-snapshot.js';

/** An eventually consistent view of the platform's instances; keeps the last snapshot while the platform is unreachable. */
export abstract class InstanceList {
	/** Fires after each successful read, whether or not the list changed. */
	abstract readonly onDidRead: Event<InstanceSnapshot>;

	/** The snapshot of the last successful read; undefined before the first. */
	abstract readonly last: InstanceSnapshot | undefined;
}
