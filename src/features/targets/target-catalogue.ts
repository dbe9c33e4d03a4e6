/** The list of known targets. */
import type {Event} from '../../base/event.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TargetRecord} from './target-record.js';

/** The latest known list; may lag behind its source, and isn't updated while the source is unavailable. */
export abstract class TargetCatalogue {
	abstract readonly targets: ReadonlyMap<InstanceId, TargetRecord>;

	/** Fires after records were added, changed or removed. */
	abstract readonly onDidChange: Event<void>;
}
