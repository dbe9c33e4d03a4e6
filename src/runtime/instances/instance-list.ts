/** The platform's lagging list of instances. */
import type {Event} from '../../base/event.js';
import type {InstanceSnapshot} from './instance-snapshot.js';

/** The adapter to the list. It keeps the last good reading when the platform is away. */
export abstract class InstanceList {
	/** Fires after every good reading, changed or not. */
	abstract readonly onDidRead: Event<InstanceSnapshot>;

	/** The last good reading; none before the first. */
	abstract readonly last: InstanceSnapshot | undefined;
}
